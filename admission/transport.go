package admission

import "github.com/slipwick/slipwick/peer/peerpb"

// Transport sends envelopes to other routers. Send must not block. It may lose envelopes, and
// receivers must not modify them.
type Transport interface {
	Send(router string, envelope *peerpb.Envelope)
}
