package balance

import (
	"math"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// SpeedCounts is what a router has observed of a server's speed since its last update.
type SpeedCounts struct {
	// Server is the hash of the server's incarnation.
	Server uint64
	// Responses counts the responses whose time was observed. LogSlowdown is the sum of the
	// logarithms, in hundredths, of their times relative to the usual time of such a request.
	Responses   int
	LogSlowdown int
	// Reports counts the reports of a pace. LogPace is the sum of the logarithms, in hundredths, of
	// these paces relative to the usual one.
	Reports int
	LogPace int
	// Rejections counts the requests that the server rejected because it was full.
	Rejections int
}

// logUnits is how many units of the sums in SpeedCounts make a logarithm of 1.
const logUnits = 100

// maxSpeedCount bounds each count that is accepted from another router, and what a router keeps for
// its next update: no estimate gets more precise with more.
const maxSpeedCount = 1000

// isValid reports whether the counts are possible: no sum is larger than its number of values allows.
func (c *SpeedCounts) isValid() bool {
	limit := math.Ceil(logUnits * math.Log(maxPaceFactor))
	isPossible := func(sum, count int) bool {
		return count >= 0 && count <= maxSpeedCount && math.Abs(float64(sum)) <= limit*float64(count)
	}
	return isPossible(c.LogSlowdown, c.Responses) && isPossible(c.LogPace, c.Reports) && c.Rejections >= 0
}

// Add adds the counts of another router or update, as far as the bound allows.
func (c *SpeedCounts) Add(other *SpeedCounts) {
	if c.Responses+other.Responses <= maxSpeedCount {
		c.Responses += other.Responses
		c.LogSlowdown += other.LogSlowdown
	}
	if c.Reports+other.Reports <= maxSpeedCount {
		c.Reports += other.Reports
		c.LogPace += other.LogPace
	}
	c.Rejections = min(c.Rejections+other.Rejections, maxSpeedCount)
}

func (c *SpeedCounts) isEmpty() bool {
	return c.Responses == 0 && c.Reports == 0 && c.Rejections == 0
}

// ReceiveSpeedCounts takes what other routers observed. Counts that are not possible are dropped.
func (b *Balancer) ReceiveSpeedCounts(list []SpeedCounts) {
	if b.applySpeedCounts(list) {
		b.OnRemotePace()
	}
}

// applySpeedCounts reports whether one of the counts has reports of a pace.
func (b *Balancer) applySpeedCounts(list []SpeedCounts) (hasReports bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for i := range list {
		if s := b.serversByHash[list[i].Server]; s != nil && list[i].isValid() {
			b.applySpeedCountsLocked(s, &list[i], now)
			hasReports = hasReports || list[i].Reports > 0
		}
	}
	return hasReports
}

func (b *Balancer) applySpeedCountsLocked(s *server, c *SpeedCounts, now time.Time) {
	s.speed.observations.add(now, float64(c.LogSlowdown)/logUnits, c.Responses)
	s.speed.reports.add(now, float64(c.LogPace)/logUnits, c.Reports)
	if c.Rejections > 0 {
		b.markFullLocked(s, now)
	}
	b.updateLoadWeightLocked(s, now)
}

// updateLoadWeightLocked computes a server's load weight anew. A weight above 1 also has to be updated
// regularly, since it falls without news.
func (b *Balancer) updateLoadWeightLocked(s *server, now time.Time) {
	s.speed.updateLoadWeight(now)
	if s.speed.loadWeight > 1 {
		b.slowServers[s] = true
	} else {
		delete(b.slowServers, s)
	}
}

// updateLoadWeightsLocked updates the load weights that are above 1.
func (b *Balancer) updateLoadWeightsLocked(now time.Time) {
	for s := range b.slowServers {
		if b.serversByHash[s.hash] != s {
			delete(b.slowServers, s)
			continue
		}
		b.updateLoadWeightLocked(s, now)
	}
}

// countSpeedLocked takes what this router observed, for the next update as well.
func (b *Balancer) countSpeedLocked(s *server, c *SpeedCounts, now time.Time) {
	b.applySpeedCountsLocked(s, c, now)
	if b.speedAware {
		s.speed.pending.Add(c)
		b.active[s] = true
	}
}

const (
	// sentPaceFactor is the least deviation of an engine's pace from the usual one for which routers
	// send each other their observations of it: a pool has so many engines that those of all would
	// take more than the updates may.
	sentPaceFactor = 1.2
	// maxSpeedCounts bounds the servers whose counts an update has. The others' are sent later.
	maxSpeedCounts = 64
)

// addSpeedCountsLocked moves the pending counts of a server to an update.
func (b *Balancer) addSpeedCountsLocked(update *Update, s *server, now time.Time) {
	pending := &s.speed.pending
	if pending.isEmpty() || len(update.Speeds) >= maxSpeedCounts {
		return
	}
	if pending.Rejections > 0 || !b.timingsLocked(s.Pool).hasPrompts || s.speed.isUnusual(now) {
		pending.Server = s.hash
		update.Speeds = append(update.Speeds, *pending)
	}
	*pending = SpeedCounts{}
}

// isUnusual reports whether one of the estimates deviates from the usual pace by sentPaceFactor.
func (s *speed) isUnusual(now time.Time) bool {
	fast, slow := s.logPaces(now)
	return max(math.Abs(fast), math.Abs(slow)) >= math.Log(sentPaceFactor)
}
