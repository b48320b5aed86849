package admission

import "github.com/slipwick/slipwick/peer/peerpb"

// outbox collects messages by router until flush sends them, so that each router gets them in a
// single envelope.
type outbox struct {
	envelopes map[string]*peerpb.Envelope
	// order lists the routers in the order in which their envelopes were begun.
	order []string
}

// envelopeFor returns the envelope that collects the messages for the router.
func (o *outbox) envelopeFor(router string) *peerpb.Envelope {
	if o.envelopes == nil {
		o.envelopes = make(map[string]*peerpb.Envelope)
	}
	envelope := o.envelopes[router]
	if envelope == nil {
		envelope = &peerpb.Envelope{}
		o.envelopes[router] = envelope
		o.order = append(o.order, router)
	}
	return envelope
}

// pop removes and returns the oldest envelope. ok is false if there is none.
func (o *outbox) pop() (router string, envelope *peerpb.Envelope, ok bool) {
	if len(o.order) == 0 {
		return "", nil, false
	}
	router = o.order[0]
	o.order = o.order[1:]
	envelope = o.envelopes[router]
	delete(o.envelopes, router)
	return router, envelope, true
}

// flush sends all envelopes. Messages to the router itself are handled at once. Those to the empty
// router ID, which stands for a backend server without an owner, are dropped.
func (c *Coordinator) flush() {
	for {
		router, envelope, ok := c.outbox.pop()
		switch {
		case !ok:
			return
		case router == c.Self:
			c.receive(router, envelope)
		case router != "":
			c.Transport.Send(router, envelope)
		}
	}
}
