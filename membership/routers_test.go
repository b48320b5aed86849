package membership

import (
	"fmt"
	"slices"
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

// TestRandomMembersAreUniform draws a few routers from fleets of several sizes many times: never
// this router or the excluded one, and the others about equally often.
func TestRandomMembersAreUniform(t *testing.T) {
	for _, size := range []int{2, 3, 5, 20, 200} {
		n := newTestNode()
		for i := range size {
			n.applyUpdate(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		const draws, count = 2000, 3
		drawn := make(map[string]int)
		for range draws {
			var members []*member
			n.locked(func() { members = n.randomMembers(count, "r0") })
			if want := min(count, size-1); len(members) != want {
				t.Fatalf("%d others: got %d, want %d", size, len(members), want)
			}
			for _, m := range members {
				drawn[m.update.GetId()]++
			}
		}
		if drawn["r0"] > 0 || drawn["self"] > 0 {
			t.Errorf("%d others: got this router or the excluded one", size)
		}
		mean := float64(draws*min(count, size-1)) / float64(size-1)
		for id, times := range drawn {
			if f := float64(times); f < mean/3 || f > 3*mean {
				t.Errorf("%d others: got %s %d times, want about %.0f", size, id, times, mean)
			}
		}
	}
}

// TestStartingRouterReportsFleetOnce applies updates for fleets of several sizes one router at a
// time: OnChange is called once when the fleet is known, and for each change from then on.
func TestStartingRouterReportsFleetOnce(t *testing.T) {
	for _, size := range []int{50, 100, 200} {
		n := newTestNode()
		n.CatchUp = true
		var reported []int
		n.OnChange = func(change Change) { reported = append(reported, len(change.EligibleRouters)) }
		for i := range size {
			n.applyUpdate(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		n.FinishCatchUp()
		n.applyUpdate(&memberpb.News{
			Id: "late",
		})
		if want := []int{size + 1, size + 2}; !slices.Equal(reported, want) {
			t.Errorf("got changes with %v routers, want %v", reported, want)
		}
	}
}
