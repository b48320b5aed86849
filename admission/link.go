package admission

import "github.com/slipwick/slipwick/peer/peerpb"

// Link carries envelopes to other routers. Send does not block and may lose
// what it is given; the receiver does not change it.
type Link interface {
	Send(router string, envelope *peerpb.Envelope)
}
