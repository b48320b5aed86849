package daemon

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/memory"
)

// TestResponseWithoutEndIsNotKept guards against an engine that sends valid chunks without end, to a caller who waits
// for the whole response, until the router has no memory left.
func TestResponseWithoutEndIsNotKept(t *testing.T) {
	for name, tc := range map[string]struct {
		limit int64
		kind  slipwick.Kind
	}{
		"no limit": {
			kind: slipwick.KindBackendError,
		},
		"a limit": {
			limit: 4 << 20,
			kind:  slipwick.KindInternal,
		},
	} {
		account := &memory.Account{
			Limit: tc.limit,
		}
		held := account.NewReservation()
		w := &bufferedWriter{
			context: echo.New().NewContext(httptest.NewRequest(http.MethodPost, chatPath, nil), httptest.NewRecorder()),
			held:    held,
		}
		chunk := slipwick.StreamEvent{
			Data: fmt.Appendf(nil, `{"choices":[{"delta":{"content":%q}}]}`, strings.Repeat("x", 32<<10)),
		}
		var err error
		sent := 0
		for ; err == nil && sent <= 2*maxCompletionBytes; sent += len(chunk.Data) {
			err = w.handleEvent(chunk)
		}
		if !slipwick.IsKind(err, tc.kind) {
			t.Errorf("%s: got error %v after %d bytes, want kind %s", name, err, sent, tc.kind)
		}
		if got := account.Peak(); tc.limit > 0 && got > tc.limit {
			t.Errorf("%s: got %d bytes held, want %d at most", name, got, tc.limit)
		}
		held.Release()
		if got := account.Held(); got != 0 {
			t.Errorf("%s: got %d bytes held at the end, want 0", name, got)
		}
	}
}
