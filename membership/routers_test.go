package membership

import (
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// TestRouterListIsCopiedOnlyOnChange checks that Routers follows each change, and returns the same
// slice as long as nothing changes.
func TestRouterListIsCopiedOnlyOnChange(t *testing.T) {
	n := newTestNode()
	apply := func(id string, state memberpb.State) {
		n.applyUpdate(&memberpb.News{
			Id:          id,
			State:       state,
			Incarnation: 1,
		})
	}
	for _, step := range []struct {
		id    string
		state memberpb.State
		want  int
	}{
		{
			id:   "b",
			want: 2,
		},
		{
			id:   "c",
			want: 3,
		},
		{
			id:    "b",
			state: memberpb.State_STATE_DEAD,
			want:  2,
		},
	} {
		apply(step.id, step.state)
		routers := n.Routers()
		if got := len(routers); got != step.want {
			t.Errorf("%s %v: got %d routers, want %d", step.id, step.state, got, step.want)
		}
		if again := n.Routers(); &again[0] != &routers[0] {
			t.Error("got a new slice, want the same one while nothing changes")
		}
	}
}
