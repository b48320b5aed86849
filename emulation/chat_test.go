package emulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// TestNoRouterIsChosenIfAllAreStopped guards against a schedule that never ends, because a chat looks for a running
// router while all are stopped.
func TestNoRouterIsChosenIfAllAreStopped(t *testing.T) {
	w := &World{
		routers: []*Router{
			{
				stopped: true,
			},
		},
	}
	chosen := make(chan slipwick.Admission, 1)
	go func() { chosen <- w.anyRouter(rand.New(rand.NewPCG(1, 1))) }()
	select {
	case got := <-chosen:
		if got != nil {
			t.Errorf("got %v, want no router", got)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("got no result after 2 s")
	}
}
