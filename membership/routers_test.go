package membership

import (
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// TestRoutersAreListedAnewWhenTheyChange asks for the list between changes: it is made once for
// each, however often it is asked for.
func TestRoutersAreListedAnewWhenTheyChange(t *testing.T) {
	n := lonely()
	told := func(id string, state memberpb.State) {
		n.tellNews(&memberpb.News{
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
		told(step.id, step.state)
		routers := n.Routers()
		if got := len(routers); got != step.want {
			t.Errorf("%s %v: got %d routers, want %d", step.id, step.state, got, step.want)
		}
		if again := n.Routers(); &again[0] != &routers[0] {
			t.Error("got a list made anew, want the same one while nothing changes")
		}
	}
}
