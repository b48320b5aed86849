package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// maxHandoverChats limits the number of displaced chats in a handover.
const maxHandoverChats = 512

// earlyHandover is a handover that arrived before the view that makes this router the owner.
type earlyHandover struct {
	message    *peerpb.Handover
	receivedAt time.Time
}

// handOver sends the leases and displaced chats of a backend server to its new owner.
func (c *Coordinator) handOver(o *ownedBackend, owner string) {
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
	for _, key := range c.displaced.Keys() {
		if key.engine != o.engine || len(message.GetPlaced()) == maxHandoverChats {
			continue
		}
		target, _ := c.displaced.Peek(key)
		message.Placed = append(message.Placed, &peerpb.ChatPlaced{
			Chat: key.chat,
			At:   target,
		})
	}
	envelope := c.outbox.envelopeFor(owner)
	envelope.Handovers = append(envelope.Handovers, message)
}

// onHandover takes over the leases of a backend server from its previous owner. That one no longer
// grants slots, so the takeover window ends. A handover that arrives before this router is the owner
// is kept until then, for LeaseTime at most.
func (c *Coordinator) onHandover(message *peerpb.Handover) {
	o := c.owned[message.GetEngine()]
	if o == nil {
		c.earlyHandovers[message.GetEngine()] = &earlyHandover{
			message:    message,
			receivedAt: time.Now(),
		}
		return
	}
	o.windowEnd = time.Time{}
	expires := time.Now().Add(c.Policy.LeaseTime)
	for _, s := range message.GetSlots() {
		o.addLease(leaseKey{
			router: s.GetRouter(),
			id:     s.GetId(),
		}, s.GetWorkspace(), expires, false)
	}
	for _, placed := range message.GetPlaced() {
		c.displaced.Add(displacedKey{
			engine: o.engine,
			chat:   placed.GetChat(),
		}, placed.GetAt())
	}
	c.scheduleReport(o.pool)
	c.grantQueued(o)
}
