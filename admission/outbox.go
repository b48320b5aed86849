package admission

import "github.com/slipwick/slipwick/peer/peerpb"

// outbox gathers what one step has to tell each router, so that it goes out in
// one envelope.
type outbox struct {
	envelopes map[string]*peerpb.Envelope
	order     []string
}

// to gives the envelope for a router.
func (o *outbox) to(router string) *peerpb.Envelope {
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

// take removes the envelope that was begun first; ok is false if none is left.
func (o *outbox) take() (router string, envelope *peerpb.Envelope, ok bool) {
	if len(o.order) == 0 {
		return "", nil, false
	}
	router = o.order[0]
	o.order = o.order[1:]
	envelope = o.envelopes[router]
	delete(o.envelopes, router)
	return router, envelope, true
}

// flush sends all envelopes; what the router tells itself is taken at once.
func (c *Coordinator) flush() {
	for {
		router, envelope, ok := c.outbox.take()
		switch {
		case !ok:
			return
		case router == c.Self:
			c.receive(router, envelope)
		case router != "":
			c.Link.Send(router, envelope)
		}
	}
}
