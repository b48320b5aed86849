package routing

import (
	"slices"
	"testing"
)

func TestAllowedRegionsAreInBothLists(t *testing.T) {
	for _, test := range []struct {
		name             string
		route, workspace []string
		want             []string
		wantAll          bool
	}{
		{
			name:    "no list",
			wantAll: true,
		},
		{
			name:  "only the route has a list",
			route: []string{"a"},
			want:  []string{"a"},
		},
		{
			name:      "only the workspace has a list",
			workspace: []string{"b"},
			want:      []string{"b"},
		},
		{
			name:      "both, one region in common",
			route:     []string{"a", "b"},
			workspace: []string{"b", "c"},
			want:      []string{"b"},
		},
		{
			name:      "both, no region in common",
			route:     []string{"a"},
			workspace: []string{"c"},
			want:      []string{},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := AllowedRegions(&Route{
				Regions: test.route,
			}, &Workspace{
				Regions: test.workspace,
			})
			if !slices.Equal(got, test.want) || (got == nil) != test.wantAll {
				t.Errorf("got %v (all: %t), want %v (all: %t)", got, got == nil, test.want, test.wantAll)
			}
		})
	}
}
