package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/placement"
)

const (
	// firstAsked is how many other routers are asked before any engine: in a
	// fleet of which half has just started, all of them have with a chance of
	// one in sixteen.
	firstAsked = 4
	// askTime bounds one question to a router, listTime one to an engine.
	askTime  = 200 * time.Millisecond
	listTime = 300 * time.Millisecond
	// roundPause lies between two rounds: about what a list takes.
	roundPause = 25 * time.Millisecond
	// lonelyRounds is for how many rounds a router that knows no other waits
	// for one to turn up: routers that start together find each other within
	// some 100 ms.
	lonelyRounds = 4
	// patientRounds is for how many rounds engines are left to the routers
	// that the rendezvous gives them to; then the router asks them itself.
	// Knowledge that routers pull from each other doubles with each round.
	patientRounds = 8
	// recoveryRounds bounds the whole.
	recoveryRounds = 16
)

// Recovery teaches a router that starts which engines have which parts of
// prompts cached: from the other routers, and where none knows an engine, from
// the engine. Routers that start together share the engines among them, and
// pull from each other what they learnt. Set the exported fields before Run.
type Recovery struct {
	// Self is the router's ID.
	Self     string
	Balancer *balance.Balancer
	// Pools gives the pools of engines.
	Pools func() []string
	// Routers gives the routers that live, this one among them or not.
	Routers func() []slipwick.Router
	// Ask asks another router for all it knows.
	Ask func(context.Context, slipwick.Router) (*balance.Knowledge, error)
	// List asks an engine for the parts that it keeps; nil asks none.
	List func(context.Context, slipwick.Backend) ([]uint64, error)

	// asked are the engines asked so far.
	asked map[string]bool
	done  chan struct{}
}

// NewRecovery makes a recovery; its exported fields are to be set.
func NewRecovery(self string) *Recovery {
	return &Recovery{
		Self:  self,
		asked: make(map[string]bool),
		done:  make(chan struct{}),
	}
}

// Done is closed when Run has ended.
func (r *Recovery) Done() <-chan struct{} {
	return r.done
}

// Run ends when the caches of all engines are known, when what is missing can't
// be learnt, or with ctx.
func (r *Recovery) Run(ctx context.Context) {
	defer close(r.done)
	for round := range recoveryRounds {
		questions := 1
		if round == 0 {
			questions = firstAsked
		}
		r.askRouters(ctx, questions)
		missing := r.missing()
		if len(missing) == 0 || ctx.Err() != nil {
			return
		}
		if round >= lonelyRounds || len(without(r.Routers(), r.Self)) > 0 {
			r.listEngines(ctx, missing, round >= patientRounds)
		}
		timer := time.NewTimer(roundPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// Missing counts the engines whose caches are not known.
func (r *Recovery) Missing() int {
	return len(r.missing())
}

func (r *Recovery) missing() []slipwick.Backend {
	var missing []slipwick.Backend
	for _, pool := range r.Pools() {
		missing = append(missing, r.Balancer.Uncovered(pool)...)
	}
	return missing
}

// askRouters asks up to n other routers, one after the other, until nothing is
// missing.
func (r *Recovery) askRouters(ctx context.Context, n int) {
	others := without(r.Routers(), r.Self)
	for _, i := range rand.Perm(len(others))[:min(n, len(others))] {
		if len(r.missing()) == 0 {
			return
		}
		limited, cancel := context.WithTimeout(ctx, askTime)
		k, err := r.Ask(limited, others[i])
		cancel()
		// A router that does not answer is passed over: another is asked in
		// the next round.
		if err == nil {
			r.Balancer.Learn(k)
		}
	}
}

// listEngines asks the engines that are this router's to ask, or all, at once.
func (r *Recovery) listEngines(ctx context.Context, engines []slipwick.Backend, all bool) {
	if r.List == nil {
		return
	}
	routers := append(without(r.Routers(), r.Self), slipwick.Router{
		ID: r.Self,
	})
	var lists sync.WaitGroup
	for _, engine := range engines {
		isOwn := routers[placement.Choose(placement.IDHash(engine.ID), routers)].ID == r.Self
		if r.asked[engine.ID] || !isOwn && !all {
			continue
		}
		r.asked[engine.ID] = true
		lists.Go(func() {
			limited, cancel := context.WithTimeout(ctx, listTime)
			defer cancel()
			// An engine that does not answer stays unknown; the list tells
			// why in its log line.
			if parts, err := r.List(limited, engine); err == nil {
				r.Balancer.Keeps(engine.ID, parts)
			}
		})
	}
	lists.Wait()
}
