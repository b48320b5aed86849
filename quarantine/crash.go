package quarantine

import (
	"cmp"
	"time"
)

// Crash records that a backend server crashed while it ran a request, or one with a prompt part.
type Crash struct {
	Key Key
	// ServerIDHash is the hash of the backend server's ID, which its incarnations share.
	ServerIDHash uint64
	// Incarnation identifies the incarnation of the server: the time at which it started, as the
	// server reports it, or else the time at which its crash was seen, in Unix milliseconds.
	Incarnation int64
	// Excused says that the request has since completed, at any server, so that it probably did not
	// cause this crash.
	Excused bool
	// SeenAt is when a router first saw the crash, by this router's clock. It is set for prompt parts.
	SeenAt time.Time
}

// incarnationTolerance is the largest difference between the times that routers report for one
// incarnation: their clocks and observations differ by milliseconds, and a crashed server takes
// seconds to restart.
const incarnationTolerance = time.Second

// incarnation identifies the incarnation of a server.
type incarnation struct {
	serverIDHash uint64
	startTime    int64
}

func (c *Crash) incarnation() incarnation {
	return incarnation{
		serverIDHash: c.ServerIDHash,
		startTime:    c.Incarnation,
	}
}

// isOf reports whether the crash is that of the incarnation.
func (c *Crash) isOf(i incarnation) bool {
	apart := time.Duration(c.Incarnation-i.startTime) * time.Millisecond
	return c.ServerIDHash == i.serverIDHash && apart.Abs() < incarnationTolerance
}

// isSameIncarnation reports whether both crashes are of the same incarnation of the same server.
func (c *Crash) isSameIncarnation(other *Crash) bool {
	return c.isOf(other.incarnation())
}

// compare orders crashes by what they say of the request: excused ones are lower than others, and among
// these those of older incarnations.
func (c *Crash) compare(other *Crash) int {
	if c.Excused != other.Excused {
		if c.Excused {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.Incarnation, other.Incarnation), cmp.Compare(c.ServerIDHash, other.ServerIDHash))
}
