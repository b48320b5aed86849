package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/routing"
)

// TestUnknownStreamWaitsForACurrentList guards against a stream of a new version that goes on at the former one, as the
// router that takes it up doesn't know the new one yet, and those that began it were killed.
func TestUnknownStreamWaitsForACurrentList(t *testing.T) {
	entry := func(version string) balance.Entry {
		return balance.Entry{
			Backend: slipwick.Backend{
				ID: version,
			},
			Pool:    "p",
			Version: version,
		}
	}
	for _, test := range []struct {
		name    string
		resumes string
		// listedAfter is when the new version is listed, 0 if it isn't.
		listedAfter time.Duration
		reason      string
		took        time.Duration
	}{
		{"another version is listed", "unknown", 500 * time.Millisecond, reasonStreamUnknown, 500 * time.Millisecond},
		{"the list stays old", "unknown", 0, reasonStreamUnknown, 1900 * time.Millisecond},
		{"no request named", "", 500 * time.Millisecond, "", 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			var listedAt atomic.Pointer[time.Time]
			setListed := func() {
				now := time.Now()
				listedAt.Store(&now)
			}
			setListed()
			time.Sleep(100 * time.Millisecond)
			started := time.Now()
			b := balance.New("d")
			b.SetBackends([]balance.Entry{entry("v1")})
			b.MarkCachesKnown()
			if test.listedAfter > 0 {
				time.AfterFunc(test.listedAfter, func() {
					b.SetBackends([]balance.Entry{entry("v1"), entry("v2")})
					setListed()
				})
			}
			c := &call{
				gateway: &Gateway{
					Headers:        DefaultHeaders(),
					Balancer:       b,
					Streams:        newLocalStreams(),
					BackendsAge:    func() time.Duration { return time.Since(*listedAt.Load()) },
					MaxBackendsAge: func() time.Duration { return 2 * time.Second },
				},
				request: &http.Request{
					Header: make(http.Header),
				},
				route: &routing.Route{
					Name:      "stream",
					Kind:      routing.KindStream,
					Resumable: true,
					Timeout:   8 * time.Second,
					Targets: []routing.Target{
						{
							Pool: "p",
						},
					},
				},
				ctx:     t.Context(),
				arrived: started,
				resumes: test.resumes,
			}
			c.gateway.SetTable(routing.NewTable(1, routing.Limits{}, nil, []routing.Route{*c.route}, nil))
			c.pool, c.selection.Pool = "p", "p"
			c.progress.isTakenUp = true
			reason := ""
			if refusal := c.bindToOrigin(); refusal != nil {
				reason = refusal.Reason
			}
			if reason != test.reason {
				t.Errorf("%s: got the refusal %q, want %q", test.name, reason, test.reason)
			}
			if took := time.Since(started); took < test.took || took > test.took+2*listPollInterval {
				t.Errorf("%s: got the decision after %v, want it after %v", test.name, took, test.took)
			}
		})
	}
}
