package quota

import "time"

const (
	// deadRouterTime is how long the slots of routers that are not live any more stay unused: they may
	// be cut off from this router and still send. cutOffTime applies if at least cutOffShare of the
	// routers disappeared, which indicates a partition.
	deadRouterTime = 2 * time.Second
	cutOffTime     = 30 * time.Second
	cutOffShare    = 0.25
)

// fleetSize remembers how many routers were live.
type fleetSize struct {
	live int
	// most is the largest recent number of live routers, mostAt when it was last seen.
	most   int
	mostAt time.Time
}

func (f *fleetSize) observe(live int, now time.Time) {
	f.live = max(live, 1)
	memory := deadRouterTime
	if float64(f.most-f.live) >= cutOffShare*float64(f.most) {
		memory = cutOffTime
	}
	if f.live >= f.most || now.Sub(f.mostAt) > memory {
		f.most, f.mostAt = f.live, now
	}
}

// part returns the part of the slots that the live routers may use.
func (f *fleetSize) part() float64 {
	return float64(f.live) / float64(max(f.most, 1))
}
