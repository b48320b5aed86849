package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// maxHandedChats bounds the chats that a handover names.
const maxHandedChats = 512

// earlyHandover is one that arrived before this router knew that it owns the
// engine.
type earlyHandover struct {
	message *peerpb.Handover
	at      time.Time
}

// handOver passes an engine's slots and displaced chats to its next owner.
func (c *Coordinator) handOver(o *owned, owner string) {
	message := &peerpb.Handover{
		Engine: o.engine,
	}
	for key, l := range o.leases {
		message.Slots = append(message.Slots, &peerpb.Slot{
			Id:        key.id,
			Workspace: l.workspace,
			Router:    key.router,
		})
	}
	for _, key := range c.memory.Keys() {
		if key.engine != o.engine || len(message.GetPlaced()) == maxHandedChats {
			continue
		}
		at, _ := c.memory.Peek(key)
		message.Placed = append(message.Placed, &peerpb.ChatPlaced{
			Chat: key.chat,
			At:   at,
		})
	}
	envelope := c.outbox.to(owner)
	envelope.Handovers = append(envelope.Handovers, message)
}

// onHandover takes over an engine's slots from its former owner, which has
// stopped granting: no window is needed.
func (c *Coordinator) onHandover(message *peerpb.Handover) {
	o := c.owned[message.GetEngine()]
	if o == nil {
		c.handovers[message.GetEngine()] = &earlyHandover{
			message: message,
			at:      time.Now(),
		}
		return
	}
	o.windowEnd = time.Time{}
	expires := time.Now().Add(c.Policy.LeaseTime)
	for _, s := range message.GetSlots() {
		o.add(leaseKey{
			router: s.GetRouter(),
			id:     s.GetId(),
		}, s.GetWorkspace(), expires, false)
	}
	for _, placed := range message.GetPlaced() {
		c.memory.Add(memoryKey{
			engine: o.engine,
			chat:   placed.GetChat(),
		}, placed.GetAt())
	}
	c.changed(o.pool)
	c.pump(o)
}
