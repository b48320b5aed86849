package directory

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

func TestRelayClientReadsCopyOverHTTP(t *testing.T) {
	mirror := NewMirror()
	server := httptest.NewServer(&RelayServer{
		Mirrors: map[string]*Mirror{
			"f": mirror,
		},
	})
	defer server.Close()
	relay := &RelayClient{
		Address:  strings.TrimPrefix(server.URL, "http://"),
		FeedName: "f",
		HTTP:     http.DefaultClient,
	}
	if _, err := relay.List(t.Context()); !slipwick.IsKind(err, slipwick.KindNotCurrent) {
		t.Errorf("before the first copy: got %v, want not current", err)
	}
	mirror.Apply(batch(3, true, "a1", "b1"))
	got, err := relay.List(t.Context())
	if err != nil || !got.IsSnapshot || got.Revision != 3 {
		t.Errorf("got %+v, %v; want the whole copy at revision 3", got, err)
	}
	expectEntries(t, "list", got.Entries, "a1", "b1")
	time.AfterFunc(20*time.Millisecond, func() { mirror.Apply(batch(4, false, "b")) })
	got, err = relay.Watch(t.Context(), at(3), time.Second)
	if err != nil || got.IsSnapshot || got.Age > time.Second {
		t.Errorf("got %+v, %v; want recent changes", got, err)
	}
	expectEntries(t, "watch", got.Entries, "-b")
	got, err = relay.Watch(t.Context(), at(1), time.Second)
	if err != nil || !got.IsSnapshot {
		t.Errorf("watch from before the copy: got %+v, %v; want the whole copy", got, err)
	}
	relay.FeedName = "none"
	if _, err := relay.List(t.Context()); !slipwick.IsKind(err, slipwick.KindUnavailable) {
		t.Errorf("unknown feed: got %v, want unavailable", err)
	}
}
