package admission

import "github.com/slipwick/slipwick/peer/peerpb"

// memoryKey is a chat at its first choice.
type memoryKey struct {
	engine, chat uint64
}

// remember keeps where a chat went that its first choice did not serve.
func (c *Coordinator) remember(placed *peerpb.ChatPlaced) {
	if c.owned[placed.GetEngine()] == nil {
		return
	}
	c.memory.Add(memoryKey{
		engine: placed.GetEngine(),
		chat:   placed.GetChat(),
	}, placed.GetAt())
}

// sendPlaced tells the owner of the chat's first choice where the chat went.
func (c *Coordinator) sendPlaced(a *ask) {
	home := a.pool.Backends[a.order[0]]
	placed := &peerpb.ChatPlaced{
		Engine: hashOf(&home),
		Chat:   a.request.Chat,
		At:     a.engine(),
	}
	envelope := c.outbox.to(c.ownerOf(placed.Engine))
	envelope.Placed = append(envelope.Placed, placed)
}

// recall gives the engine that served a chat last, if it is another one that
// may still get work.
func (c *Coordinator) recall(engine, chat uint64) (at uint64, ok bool) {
	at, ok = c.memory.Get(memoryKey{
		engine: engine,
		chat:   chat,
	})
	if !ok {
		return 0, false
	}
	place, ok := c.view.Place(at)
	return at, ok && place.MayGetWork()
}
