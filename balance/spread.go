package balance

import (
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/slipwick/slipwick/placement"
)

const (
	// enginesPerOvershoot is among how many engines the requests for a prompt are spread, for each time that the load
	// above the bound fills the room of an average engine. Requests stay for several times as long as other routers
	// take to learn of them, so that one engine for each would soon be above the bound as well.
	enginesPerOvershoot = 8.0
	// A spread among fewer than minSpread engines has ended.
	minSpread = 1.0
	maxSpread = 24
	// spreadDecayTime is the time constant with which a spread ends once no engine is above the bound.
	spreadDecayTime = time.Second
	// maxSpreadPrompts bounds the prompts whose spread is remembered.
	maxSpreadPrompts = 256
)

// promptSpread says among how many engines the requests for a prompt are spread.
type promptSpread struct {
	engines float64
	at      time.Time
}

// promptSpreads has the spreads of prompts that lately overshot the load bound.
type promptSpreads struct {
	byPrompt *lru.LRU[uint64, promptSpread]
}

func newPromptSpreads() *promptSpreads {
	// NewLRU fails only for a size that is not positive.
	byPrompt, _ := lru.NewLRU[uint64, promptSpread](maxSpreadPrompts, nil)
	return &promptSpreads{
		byPrompt: byPrompt,
	}
}

// update returns among how many engines the requests for the prompt are spread; 0 if they aren't. needed is how many
// the current loads ask for.
func (p *promptSpreads) update(prompt uint64, needed float64, now time.Time) int {
	if old, ok := p.byPrompt.Peek(prompt); ok {
		needed = max(needed, old.engines*math.Exp(-now.Sub(old.at).Seconds()/spreadDecayTime.Seconds()))
	}
	if needed < minSpread {
		p.byPrompt.Remove(prompt)
		return 0
	}
	p.byPrompt.Add(prompt, promptSpread{
		engines: needed,
		at:      now,
	})
	return min(int(needed), maxSpread)
}

// chooseSpreadLocked chooses an engine for a prompt whose requests have overshot the load bound elsewhere, or returns
// nil if they needn't be spread. All routers prefer the same engine until updates show its load, so that a prompt with
// many requests would take one engine after the other above the bound. overshoot is that of bestHolderLocked, mean the
// mean load.
func (b *Balancer) chooseSpreadLocked(
	prompt uint64, overshoot float64, usable []*server, loads []float64, bound, mean float64, now time.Time,
) *server {
	count := b.promptSpreads.update(prompt, enginesPerOvershoot*overshoot/max(bound-mean, 1), now)
	if count == 0 {
		return nil
	}
	options := b.spreadOptionsLocked(prompt, usable, loads, bound)
	held := 0
	for held < len(options) && options[held].isHolder {
		held++
	}
	options = options[:min(max(count, held), len(options))]
	room := 0.0
	for _, o := range options {
		room += o.room
	}
	at := b.Random() * room
	for _, o := range options {
		if at -= o.room; at <= 0 {
			return o.server
		}
	}
	return nil
}

// spreadOption is an engine that may get a request for a prompt whose requests are spread.
type spreadOption struct {
	server *server
	// room is the load that the engine may get until it reaches the bound.
	room     float64
	isHolder bool
	score    uint64
}

// spreadOptionsLocked returns the engines below the load bound: first those that have the prompt cached, each group in
// the prompt's rank order, so that all routers spread it among the same engines.
func (b *Balancer) spreadOptionsLocked(prompt uint64, usable []*server, loads []float64, bound float64) []spreadOption {
	holders, _ := b.cacheIndex.holdersByPart.Peek(prompt)
	options := b.scratch.spread[:0]
	for i, s := range usable {
		if loads[i] < bound {
			options = append(options, spreadOption{
				server:   s,
				room:     bound - loads[i],
				isHolder: slices.Contains(holders, s.hash),
				score:    placement.Score(prompt, s.hash),
			})
		}
	}
	b.scratch.spread = options
	slices.SortFunc(options, func(x, y spreadOption) int {
		if x.isHolder == y.isHolder && x.score > y.score || x.isHolder && !y.isHolder {
			return -1
		}
		return 1
	})
	return options
}
