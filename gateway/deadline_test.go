package gateway

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// TestLargeDeadlineDoesNotOverflow guards against a deadline header that is larger than a
// time.Duration and makes the deadline pass at once or never.
func TestLargeDeadlineDoesNotOverflow(t *testing.T) {
	t.Parallel()
	arrived := time.Now()
	for _, requested := range []int64{
		math.MaxInt64, math.MaxInt64 / 2, math.MaxInt64/int64(time.Millisecond) + 1, math.MaxInt64 / int64(time.Millisecond),
	} {
		got := requestDeadline(strconv.FormatInt(requested, 10), &routing.Route{}, arrived).Sub(arrived)
		if got != maxTimeout {
			t.Errorf("header %d: got a timeout of %v, want %v", requested, got, maxTimeout)
		}
	}
	for header, want := range map[string]time.Duration{
		"250": 250 * time.Millisecond,
		"x":   defaultTimeout,
		"-1":  defaultTimeout,
	} {
		if got := requestDeadline(header, &routing.Route{}, arrived).Sub(arrived); got != want {
			t.Errorf("header %q: got %v, want %v", header, got, want)
		}
	}
}

// TestServerIsGrantedWhatIsLeftAtTheWrite guards against a server that may work for longer than the caller waits,
// because the time limit that it gets is from before the request waited to be written.
func TestServerIsGrantedWhatIsLeftAtTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, waited = 5 * time.Second, 300 * time.Millisecond
		balancer := balance.New("near")
		balancer.SetBackends([]balance.Entry{
			{
				Backend: slipwick.Backend{
					ID: "b1",
				},
				Pool: "p",
			},
		})
		request := httptest.NewRequest(http.MethodPost, "/single/x", http.NoBody)
		table := testTable(1)
		c := &call{
			gateway: &Gateway{
				Headers:  DefaultHeaders(),
				Balancer: balancer,
				Client:   &upstream.Client{},
			},
			request:  request,
			table:    table,
			route:    table.Route("a.example", "/single/x"),
			pool:     "p",
			deadline: clock.Now().Add(limit),
		}
		c.selection.Pool = "p"
		lease, err := balancer.Acquire(&c.selection)
		if err != nil {
			t.Fatal(err)
		}
		sent := c.upstreamRequest(lease)
		time.Sleep(waited)
		if err := sent.BeforeWrite(); err != nil {
			t.Fatal(err)
		}
		want := strconv.FormatInt((limit - waited).Milliseconds(), 10)
		if got := sent.Header.Get("Slipwick-Deadline-Ms"); got != want {
			t.Errorf("got %s ms granted after a wait of %v, want %s", got, waited, want)
		}
	})
}
