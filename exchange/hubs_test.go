package exchange

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
)

func TestHubsAreFewAndGroupsAreEven(t *testing.T) {
	for _, size := range []int{17, 62, 80, 330} {
		var routers []slipwick.Router
		for i := range size {
			routers = append(routers, slipwick.Router{
				ID: fmt.Sprint(i),
			})
		}
		h := chooseHubs(routers)
		members := 0
		for _, hub := range h.chosen {
			group := len(h.groupOf(hub.ID))
			members += group
			if group > 4*len(h.chosen) {
				t.Errorf("%d routers: a hub has %d of them, want at most 4 times the %d hubs", size, group, len(h.chosen))
			}
		}
		if members+len(h.chosen) != size {
			t.Errorf("%d routers: %d hubs and %d in their groups, want all", size, len(h.chosen), members)
		}
	}
}
