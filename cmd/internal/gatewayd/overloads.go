package gatewayd

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/gateway"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// overloads counts the requests that waited or were refused for lack of capacity, and logs them by
// pool. It is safe for concurrent use.
type overloads struct {
	mu    sync.Mutex
	pools map[string]*poolOverload
}

// poolOverload has the counts of one pool.
type poolOverload struct {
	// refusedTotal counts all refusals since the start; the other counts are those since the last log
	// line.
	refusedTotal    int64
	waited, refused int
	longestWait     time.Duration
	// byWorkspace has the refusals of each workspace.
	byWorkspace map[string]int
}

const (
	// overloadInterval is the time between two log lines about a pool, maxOverloadLines bounds the
	// lines of one interval: the pools with the most refusals come first.
	overloadInterval = 10 * time.Second
	maxOverloadLines = 20
	// maxOverloadedPools and maxOverloadedWorkspaces bound the counts, whose names are those of the
	// configuration: some 100 bytes each.
	maxOverloadedPools      = 1024
	maxOverloadedWorkspaces = 4096
)

// record counts a request that has ended.
func (o *overloads) record(summary *gateway.RequestSummary) {
	refused := isOverloadRefusal(summary)
	if summary.Waited == 0 && !refused {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.poolLocked(summary.Pool)
	if p == nil {
		return
	}
	if summary.Waited > 0 {
		p.waited++
		p.longestWait = max(p.longestWait, summary.Waited)
	}
	if !refused {
		return
	}
	p.refusedTotal++
	p.refused++
	if _, known := p.byWorkspace[summary.Workspace]; known || len(p.byWorkspace) < maxOverloadedWorkspaces {
		p.byWorkspace[summary.Workspace]++
	}
}

// poolLocked returns the counts of a pool, or nil if there are too many pools.
func (o *overloads) poolLocked(name string) *poolOverload {
	p := o.pools[name]
	if p != nil || len(o.pools) >= maxOverloadedPools {
		return p
	}
	if o.pools == nil {
		o.pools = make(map[string]*poolOverload)
	}
	p = &poolOverload{
		byWorkspace: make(map[string]int),
	}
	o.pools[name] = p
	return p
}

// refusedTotal returns how many requests for a pool were refused since the start.
func (o *overloads) refusedTotal(pool string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.pools[pool]; p != nil {
		return p.refusedTotal
	}
	return 0
}

// isOverloadRefusal reports whether a request was refused for lack of capacity.
func isOverloadRefusal(summary *gateway.RequestSummary) bool {
	return summary.Result == "refused" && summary.Reason == gateway.ReasonOverloaded
}

// overloadReport is what the log says about one pool.
type overloadReport struct {
	pool            string
	waited, refused int
	longestWait     time.Duration
	// workspaces is the number of workspaces with refusals, most the one with the most, mostRefused
	// their number.
	workspaces  int
	most        string
	mostRefused int
}

// take returns the reports since the last call, the pools with the most refusals first.
func (o *overloads) take() []overloadReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	var reports []overloadReport
	for _, name := range slices.Sorted(maps.Keys(o.pools)) {
		p := o.pools[name]
		if p.waited == 0 && p.refused == 0 {
			continue
		}
		r := overloadReport{
			pool:        name,
			waited:      p.waited,
			refused:     p.refused,
			longestWait: p.longestWait,
			workspaces:  len(p.byWorkspace),
		}
		for _, workspace := range slices.Sorted(maps.Keys(p.byWorkspace)) {
			if count := p.byWorkspace[workspace]; count > r.mostRefused {
				r.most, r.mostRefused = workspace, count
			}
		}
		reports = append(reports, r)
		p.waited, p.refused, p.longestWait = 0, 0, 0
		clear(p.byWorkspace)
	}
	slices.SortStableFunc(reports, func(a, b overloadReport) int { return cmp.Compare(b.refused, a.refused) })
	return reports[:min(len(reports), maxOverloadLines)]
}

// run logs the reports until ctx ends.
func (o *overloads) run(ctx context.Context, log *zerolog.Logger) {
	for sleep(ctx, overloadInterval) {
		for _, r := range o.take() {
			events.PoolOverloaded.On(log).Str("pool", r.pool).Int("waited", r.waited).Dur("longest_ms", r.longestWait).
				Int("refused", r.refused).Int("workspaces", r.workspaces).
				Str("most", r.most).Int("most_refused", r.mostRefused).Send()
		}
	}
}
