package admission

import "github.com/slipwick/slipwick/peer/peerpb"

// displacedKey identifies a displaced chat by the hash of its first choice and its own hash.
type displacedKey struct {
	engine, chat uint64
}

// onPlaced records which backend server serves a displaced chat, if this router owns the chat's first
// choice.
func (c *Coordinator) onPlaced(placed *peerpb.ChatPlaced) {
	if c.owned[placed.GetEngine()] == nil {
		return
	}
	c.displaced.Add(displacedKey{
		engine: placed.GetEngine(),
		chat:   placed.GetChat(),
	}, placed.GetAt())
}

// sendPlaced reports to the owner of the chat's first choice which backend server serves the chat
// instead.
func (c *Coordinator) sendPlaced(a *acquisition) {
	firstChoice := a.pool.Backends[a.ranking[0]]
	placed := &peerpb.ChatPlaced{
		Engine: hashOf(&firstChoice),
		Chat:   a.request.Chat,
		At:     a.engine(),
	}
	envelope := c.outbox.envelopeFor(c.ownerOf(placed.Engine))
	envelope.Placed = append(envelope.Placed, placed)
}

// displacedTo returns the backend server that last served the chat instead of its first choice. ok
// is false if there is none or if it is not usable in the current view.
func (c *Coordinator) displacedTo(engine, chat uint64) (target uint64, ok bool) {
	target, ok = c.displaced.Get(displacedKey{
		engine: engine,
		chat:   chat,
	})
	if !ok {
		return 0, false
	}
	location, ok := c.view.Locate(target)
	return target, ok && location.IsUsable()
}
