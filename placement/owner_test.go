package placement

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
)

func TestOwnerPrefersClosestRouter(t *testing.T) {
	routers := []slipwick.Router{
		{
			ID:         "far",
			DataCentre: "c",
			Region:     "south",
		},
		{
			ID:         "region",
			DataCentre: "b",
			Region:     "north",
		},
		{
			ID:         "near",
			DataCentre: "a",
			Region:     "north",
		},
	}
	for i := range 50 {
		backend := slipwick.Backend{
			ID:         fmt.Sprint(i),
			DataCentre: "a",
			Region:     "north",
		}
		for _, tc := range []struct {
			routers []slipwick.Router
			want    int
		}{
			{
				routers: routers,
				want:    2,
			},
			{
				routers: routers[:2],
				want:    1,
			},
			{
				routers: routers[:1],
				want:    0,
			},
			{
				routers: nil,
				want:    -1,
			},
		} {
			if got := newOwnerChooser(tc.routers).owner(&backend); got != tc.want {
				t.Errorf("%d routers: got %d, want %d", len(tc.routers), got, tc.want)
			}
		}
	}
}
