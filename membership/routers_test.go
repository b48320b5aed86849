package membership

import (
	"fmt"
	"slices"
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

// TestChoiceIsEvenAndOfOthers draws a few routers of fleets of several sizes again and again.
func TestChoiceIsEvenAndOfOthers(t *testing.T) {
	for _, size := range []int{2, 3, 5, 20, 200} {
		n := lonely()
		for i := range size {
			n.tellNews(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		const draws, count = 2000, 3
		drawn := make(map[string]int)
		for range draws {
			var members []*member
			n.locked(func() { members = n.choose(count, "r0") })
			if want := min(count, size-1); len(members) != want {
				t.Fatalf("%d others: got %d, want %d", size, len(members), want)
			}
			for _, m := range members {
				drawn[m.news.GetId()]++
			}
		}
		if drawn["r0"] > 0 || drawn["self"] > 0 {
			t.Errorf("%d others: got itself or the one left out", size)
		}
		mean := float64(draws*min(count, size-1)) / float64(size-1)
		for id, times := range drawn {
			if f := float64(times); f < mean/3 || f > 3*mean {
				t.Errorf("%d others: got %s %d times, want about %.0f", size, id, times, mean)
			}
		}
	}
}

// TestStartingRouterTellsOfTheFleetOnce hears of fleets of several sizes one router after the
// other: what acts on the fleet is told when it is known, and of each change from then on.
func TestStartingRouterTellsOfTheFleetOnce(t *testing.T) {
	for _, size := range []int{50, 100, 200} {
		n := lonely()
		n.CatchUp = true
		var told []int
		n.OnChange = func(change Change) { told = append(told, len(change.Routers)) }
		for i := range size {
			n.tellNews(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		n.Alone()
		n.tellNews(&memberpb.News{
			Id: "late",
		})
		if want := []int{size + 1, size + 2}; !slices.Equal(told, want) {
			t.Errorf("got told of %v routers, want %v", told, want)
		}
	}
}
