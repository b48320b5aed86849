package exchange

import (
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
)

// countsLife is how long what a router told counts.
const countsLife = time.Second

// counts are one router's or group's requests, by backend server.
type counts struct {
	at       time.Time
	sequence uint64
	each     map[uint64]balance.InFlight
}

func newCounts(list []balance.InFlight) *counts {
	c := &counts{
		each: make(map[uint64]balance.InFlight, len(list)),
	}
	c.take(list)
	return c
}

// take takes more counts of the same round, of other servers.
func (c *counts) take(list []balance.InFlight) {
	c.at = clock.Now()
	for _, in := range list {
		c.each[in.Server] = in
	}
}

// add adds the other's counts, times the sign.
func (c *counts) add(other *counts, sign int) {
	for server, in := range other.each {
		sum := c.each[server]
		sum.Server = server
		sum.Count = max(sum.Count+sign*in.Count, 0)
		sum.Reading = max(sum.Reading+sign*in.Reading, 0)
		c.each[server] = sum
	}
}

// list gives the counts that are not 0.
func (c *counts) list() []balance.InFlight {
	list := make([]balance.InFlight, 0, len(c.each))
	for _, in := range c.each {
		if in.Count > 0 || in.Reading > 0 {
			list = append(list, in)
		}
	}
	return list
}

// sumOf adds what is fresh.
func sumOf(told map[string]*counts) *counts {
	sum := newCounts(nil)
	for _, c := range told {
		if clock.Since(c.at) <= countsLife {
			sum.add(c, 1)
		}
	}
	return sum
}
