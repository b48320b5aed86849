package permit

import (
	"time"

	"github.com/slipwick/slipwick/permit/permitpb"
)

// lease is one granted permit, as the coordinator knows it.
type lease struct {
	asker     *asker
	id        uint64
	pool      *pool
	server    *server
	workspace string
	work      time.Duration
	granted   time.Time
	// probe says that the server is suspected, and the request finds out whether it serves.
	probe bool
	// ignoreEjection says that the results of all routers counted more than ejections by one of them.
	ignoreEjection bool
	// expires is the deadline of the request.
	expires time.Time
	// auditAt is when the router is asked next whether it still holds the permit, after auditWait.
	auditAt   time.Time
	auditWait time.Duration
}

// answer returns the answer that grants the permit.
func (l *lease) answer() *permitpb.Answer {
	return &permitpb.Answer{
		Id:             l.id,
		Backend:        l.server.ID,
		Probe:          l.probe,
		IgnoreEjection: l.ignoreEjection,
	}
}
