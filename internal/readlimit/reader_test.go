package readlimit

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestLimitHoldsUntilItIsRemoved(t *testing.T) {
	r := &Reader{
		Source: strings.NewReader("0123456789"),
	}
	r.Limit(4)
	got, err := io.ReadAll(r)
	if string(got) != "0123" || !errors.Is(err, ErrExceeded) {
		t.Errorf("got %q and the error %v, want 4 bytes and ErrExceeded", got, err)
	}
	r.Limit(2)
	if n, err := io.ReadFull(r, make([]byte, 2)); n != 2 || err != nil {
		t.Errorf("got %d bytes and the error %v after a new limit, want 2", n, err)
	}
	r.Unlimit()
	if got, err := io.ReadAll(r); string(got) != "6789" || err != nil {
		t.Errorf("got %q and the error %v without a limit, want the rest", got, err)
	}
}
