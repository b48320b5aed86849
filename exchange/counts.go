package exchange

import (
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
)

// countsTTL is how long received counts are used.
const countsTTL = time.Second

// counts are the requests in flight of one router or group, by backend server.
type counts struct {
	receivedAt time.Time
	// round is the number of the round whose datagrams carried the counts.
	round    uint64
	byServer map[uint64]balance.InFlight
}

func newCounts(list []balance.InFlight) *counts {
	c := &counts{
		byServer: make(map[uint64]balance.InFlight, len(list)),
	}
	c.merge(list)
	return c
}

// merge adds the counts of another datagram of the same round, which are of other servers.
func (c *counts) merge(list []balance.InFlight) {
	c.receivedAt = clock.Now()
	for _, in := range list {
		c.byServer[in.Server] = in
	}
}

// add adds the other counts, multiplied by sign. No sum falls below 0.
func (c *counts) add(other *counts, sign int) {
	for server, in := range other.byServer {
		sum := c.byServer[server]
		sum.Server = server
		sum.Count = max(sum.Count+sign*in.Count, 0)
		sum.PrefillTokens = max(sum.PrefillTokens+sign*in.PrefillTokens, 0)
		c.byServer[server] = sum
	}
}

// list returns the counts that are not 0.
func (c *counts) list() []balance.InFlight {
	list := make([]balance.InFlight, 0, len(c.byServer))
	for _, in := range c.byServer {
		if in.Count > 0 || in.PrefillTokens > 0 {
			list = append(list, in)
		}
	}
	return list
}

// sumFresh adds up the counts that are not older than countsTTL.
func sumFresh(received map[string]*counts) *counts {
	sum := newCounts(nil)
	for _, c := range received {
		if clock.Since(c.receivedAt) <= countsTTL {
			sum.add(c, 1)
		}
	}
	return sum
}
