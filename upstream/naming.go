package upstream

import (
	"errors"
	"fmt"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// unnamedTTL is for how long a backend server whose response named no request counts as one that may send more of them.
const unnamedTTL = 30 * time.Second

// naming is what the responses of a backend server have shown about whether they name their requests.
type naming struct {
	// statuses are those of responses that named their request.
	statuses map[int]struct{}
	// unnamedUntil is until when the server counts as one whose responses may name no request.
	unnamedUntil time.Time
}

// recordNaming records whether a response of the backend server named its request.
func (c *Client) recordNaming(key string, status int, isNamed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.namings[key]
	if n == nil {
		if c.namings == nil {
			c.namings = make(map[string]*naming)
		}
		n = &naming{
			statuses: make(map[int]struct{}),
		}
		c.namings[key] = n
	}
	if isNamed {
		n.statuses[status] = struct{}{}
	} else {
		n.unnamedUntil = clock.Now().Add(unnamedTTL)
	}
}

// names reports whether responses of the backend server with this status name their request.
func (c *Client) names(key string, status int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.namings[key]
	if n == nil {
		return false
	}
	_, ok := n.statuses[status]
	return ok
}

// hasUnnamed reports whether the backend server has lately sent responses that may have been to the request under way
// though they named none.
func (c *Client) hasUnnamed(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.namings[key]
	return n != nil && clock.Now().Before(n.unnamedUntil)
}

// needsUnused reports whether the request has to be sent on a connection without earlier exchanges, as its response
// may name no request. The response to one that may be repeated needn't be known for certain.
func (c *Client) needsUnused(key string, request *Request) bool {
	return request.ID == "" || request.RunsOnce && c.hasUnnamed(key)
}

// unnamedError is the cause of the error of an exchange in which a response arrived that names no request, and no other
// one: it may belong to an earlier request.
type unnamedError struct {
	status int
}

func (e *unnamedError) Error() string {
	return fmt.Sprintf("a response with the status %d names no request, and the connection was used before", e.status)
}

// UnnamedStatus returns the status of the response for which an exchange ended because it names no request; ok is false
// if err has another cause.
func UnnamedStatus(err error) (status int, ok bool) {
	var unnamed *unnamedError
	if !errors.As(err, &unnamed) {
		return 0, false
	}
	return unnamed.status, true
}
