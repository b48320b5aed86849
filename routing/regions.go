package routing

import "slices"

// AllowedRegions returns the regions whose backend servers may get a request of the route and the
// workspace, which may be nil. If both list regions, only those in both lists are allowed. Nil
// allows all regions, an empty list none.
func AllowedRegions(route *Route, workspace *Workspace) []string {
	switch {
	case workspace == nil || len(workspace.Regions) == 0:
		return nilIfEmpty(route.Regions)
	case len(route.Regions) == 0:
		return workspace.Regions
	}
	both := make([]string, 0, len(route.Regions))
	for _, region := range route.Regions {
		if slices.Contains(workspace.Regions, region) {
			both = append(both, region)
		}
	}
	return both
}

func nilIfEmpty(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}
