package permit

import "time"

// lease is one granted permit, as the coordinator knows it.
type lease struct {
	asker     *asker
	id        uint64
	pool      *pool
	server    *server
	workspace string
	work      time.Duration
	granted   time.Time
	// expires is the deadline of the request.
	expires time.Time
	// auditAt is when the router is asked next whether it still holds the permit, after auditWait.
	auditAt   time.Time
	auditWait time.Duration
}
