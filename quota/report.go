package quota

import "time"

// maxReports is how many of this router's reports for a pool are kept, to find the one that the fleet's
// sums contain.
const maxReports = 8

// report is what this router reported for a pool at a time.
type report struct {
	at      time.Time
	entries []Entry
	// isSent says that the report was sent to the other routers, so that the fleet's sums contain it.
	isSent bool
}

// reports are the latest reports for a pool, oldest first.
type reports []report

func (r *reports) add(latest report) {
	if len(*r) == maxReports {
		*r = append((*r)[:0], (*r)[1:]...)
	}
	*r = append(*r, latest)
}

// asOf returns the last report at or before a time; an empty one if there is none.
func (r reports) asOf(at time.Time) report {
	for i := len(r) - 1; i >= 0; i-- {
		if !r[i].at.After(at) {
			return r[i]
		}
	}
	return report{}
}
