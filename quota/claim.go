package quota

// claim is what a workspace has and wants of a pool's slots at one priority, in the fleet and at this
// router, and what it gets.
type claim struct {
	workspace uint32
	priority  int
	weight    float64
	// inFlight and wanted are the slots that the fleet's requests occupy and those that they want in
	// addition; ownInFlight and ownWanted are this router's part of them.
	inFlight, wanted       float64
	ownInFlight, ownWanted float64
	// target is the allocation in the fleet, limit this router's part of it.
	target, limit float64
	// used counts this router's requests in flight now, allowed is the limit rounded.
	used, allowed int
}

func (c *claim) demand() float64    { return c.inFlight + c.wanted }
func (c *claim) ownDemand() float64 { return c.ownInFlight + c.ownWanted }

// isLimited reports whether the claim gets less than it wants.
func (c *claim) isLimited() bool {
	return c.target < c.demand()*(1-limitTolerance)
}

// limitTolerance is the part of a demand that may be missing for rounding.
const limitTolerance = 0.01

// part returns how many of the slots of the claim's target go to this router's requests if they are
// divided by demand.
func (c *claim) part() float64 {
	return c.target * ratio(c.ownDemand(), c.demand())
}

type claimKey struct {
	workspace uint32
	priority  int
}

// newClaims returns the claims of the fleet's entries of one pool, sorted by priority and workspace.
func newClaims(fleet []Entry) []*claim {
	claims := make([]*claim, 0, len(fleet))
	for i := range fleet {
		e := &fleet[i]
		claims = append(claims, &claim{
			workspace: e.Workspace,
			priority:  e.Priority,
			weight:    e.totalWeight(),
			inFlight:  float64(e.InFlight),
			wanted:    e.wanted(),
		})
	}
	return claims
}

// claimIndex finds the claim of a workspace.
type claimIndex map[claimKey]*claim

func newClaimIndex(claims []*claim) claimIndex {
	index := make(claimIndex, len(claims))
	for _, c := range claims {
		index[claimKey{
			workspace: c.workspace,
			priority:  c.priority,
		}] = c
	}
	return index
}

// find returns the claim of a workspace, or that which sums up the workspaces not listed, or nil.
func (x claimIndex) find(workspace uint32, priority int) *claim {
	c := x[claimKey{
		workspace: workspace,
		priority:  priority,
	}]
	if c == nil {
		c = x[claimKey{
			workspace: RestOfWorkspaces,
			priority:  priority,
		}]
	}
	return c
}

// addOwn adds this router's entries to their claims. It drops what the sums don't contain.
func (x claimIndex) addOwn(own []Entry) {
	for i := range own {
		e := &own[i]
		if c := x.find(e.Workspace, e.Priority); c != nil {
			c.ownInFlight = min(c.ownInFlight+float64(e.InFlight), c.inFlight)
			c.ownWanted = min(c.ownWanted+e.wanted(), c.wanted)
		}
	}
}
