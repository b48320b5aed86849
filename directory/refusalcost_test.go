package directory

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/slipwick/slipwick"
)

// TestRefusalCostDoesNotGrowWithList requests the copy of a router that is already sending it to
// as many others as it may at once. The memory for a refusal must not grow with the list.
//
// It guards against a failure seen with 986 routers and 9,999 servers: the router that had its
// copy first after a loss of power took up to 162 MB. For each of hundreds of routers that asked
// at the same moment it built the list, only to refuse the request then.
func TestRefusalCostDoesNotGrowWithList(t *testing.T) {
	for _, size := range []int{10_000, 20_000, 40_000} {
		mirror := NewMirror()
		snapshot := slipwick.FeedBatch{
			IsSnapshot: true,
			Revision:   1,
		}
		for i := range size {
			snapshot.Entries = append(snapshot.Entries, slipwick.FeedEntry{
				Name:  fmt.Sprint("s", i),
				Value: binary.BigEndian.AppendUint64(nil, rand.Uint64()),
			})
		}
		mirror.Apply(&snapshot)
		server := &RelayServer{
			Mirrors: map[string]*Mirror{
				"f": mirror,
			},
			sending: maxLargeSends,
		}
		const requests = 100
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range requests {
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, RelayPath+"f", nil))
			if recorder.Code != http.StatusTooManyRequests {
				t.Fatalf("got status %d, want %d", recorder.Code, http.StatusTooManyRequests)
			}
		}
		runtime.ReadMemStats(&after)
		if got, want := (after.TotalAlloc-before.TotalAlloc)/requests, uint64(32<<10); got > want {
			t.Errorf("%d objects: got %d bytes for a refusal, want at most %d", size, got, want)
		}
	}
}
