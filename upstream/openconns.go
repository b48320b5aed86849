package upstream

import (
	"errors"
	"sync"

	"github.com/slipwick/slipwick"
)

// errConnectionLimit is the cause of the errors of exchanges for which no connection may be opened.
var errConnectionLimit = errors.New("this router has as many connections to the backend server as it may open")

// openConns counts the open connections to each backend server by key, idle and in use.
type openConns struct {
	mu    sync.Mutex
	byKey map[string]int
	// limit is the limit for each server; 0 sets none.
	limit int
}

// SetMaxOpenConns sets how many connections to one backend server may be open, idle and in use; 0
// sets no limit. A server accepts a limited number of connections from all routers together and
// resets those beyond it, which would cost other routers their requests.
func (c *Client) SetMaxOpenConns(limit int) {
	c.open.mu.Lock()
	defer c.open.mu.Unlock()
	c.open.limit = max(limit, 0)
}

// OpenConns returns the number of open connections to the backend server, idle and in use.
func (c *Client) OpenConns(key string) int {
	c.open.mu.Lock()
	defer c.open.mu.Unlock()
	return c.open.byKey[key]
}

// add counts a connection that is about to be opened, and reports whether the limit allows it.
func (o *openConns) add(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limit > 0 && o.byKey[key] >= o.limit {
		return false
	}
	if o.byKey == nil {
		o.byKey = make(map[string]int)
	}
	o.byKey[key]++
	return true
}

// addUnlimited counts a connection that is about to be opened, whatever the limit.
func (o *openConns) addUnlimited(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byKey == nil {
		o.byKey = make(map[string]int)
	}
	o.byKey[key]++
}

// remove ends the count of a connection.
func (o *openConns) remove(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byKey[key]--
	if o.byKey[key] <= 0 {
		delete(o.byKey, key)
	}
}

// connectionLimitError returns the error of an exchange for which no connection may be opened:
// nothing was sent.
func connectionLimitError(address string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindOverloaded,
		Message: "no further connection to backend server " + address,
		Remedy:  "raise max_connections of its pool, or use another server",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   errConnectionLimit,
	}
}

// IsConnectionLimit reports whether err comes from the limit that SetMaxOpenConns set, which says
// nothing about the backend server.
func IsConnectionLimit(err error) bool {
	return errors.Is(err, errConnectionLimit)
}
