package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/routing"
)

const (
	// originRefreshInterval is how often the origin of a stream that goes on is noted again, as routers forget
	// old ones.
	originRefreshInterval = time.Minute
	// streamAgeFactor times the route's timeout is how long ago a stream that is taken up may have begun at least: the
	// attempt that began it and one that continued it may each have lasted as long.
	streamAgeFactor = 2
)

// streamKey returns the hash by which routers know the stream that a request of a workspace began.
func streamKey(workspace, requestID string) uint64 {
	sum := sha256.Sum256([]byte(workspace + "\x00" + requestID))
	return binary.BigEndian.Uint64(sum[:])
}

// originHash returns the hash of a pool and a version, which is not 0.
func originHash(pool, version string) uint32 {
	sum := sha256.Sum256([]byte(pool + "\x00" + version))
	return max(binary.BigEndian.Uint32(sum[:]), 1)
}

// noteOrigin tells the other routers at which pool and version the stream began, before the caller gets its
// first events and from time to time while it goes on.
func (c *call) noteOrigin() {
	if c.gateway.Streams == nil || !c.route.Resumable || c.route.Kind != routing.KindStream {
		return
	}
	now := clock.Now()
	if !c.originNotedAt.IsZero() && now.Sub(c.originNotedAt) < originRefreshInterval {
		return
	}
	c.originNotedAt = now
	begunBy := c.id
	if c.resumes != "" {
		begunBy = c.resumes
	}
	c.gateway.Streams.NoteOrigin(
		streamKey(c.workspaceName(), begunBy), originHash(c.pool, c.selection.Version))
}

// bindToOrigin binds a request that takes up a stream to the pool and the version that began it, and returns a
// refusal if they are not known for certain or have no server left.
func (c *call) bindToOrigin() *Refusal {
	if c.route.Kind != routing.KindStream || !c.progress.isTakenUp {
		return nil
	}
	answer := slipwick.OriginUnknown
	if c.gateway.Streams != nil && c.resumes != "" {
		var origin uint32
		origin, answer = c.gateway.Streams.FindOrigin(c.ctx, streamKey(c.workspaceName(), c.resumes))
		if answer == slipwick.OriginKnown {
			c.origin = OriginTold
			return c.bindTo(origin)
		}
	}
	if version, ok := c.onlyVersion(); ok {
		c.origin = OriginOnlyVersion
		c.selection.Version, c.selection.HasVersion = version, true
		return nil
	}
	if answer == slipwick.OriginUnanswered {
		return refuseUnansweredStream()
	}
	return refuseUnknownStream()
}

// bindTo binds the request to a pool and a version with the hash.
func (c *call) bindTo(origin uint32) *Refusal {
	for _, target := range c.route.Targets {
		for _, version := range c.gateway.Balancer.Versions(target.Pool) {
			if originHash(target.Pool, version) == origin && c.gateway.Balancer.HasVersion(target.Pool, version) {
				c.setPool(target.Pool)
				c.selection.Version, c.selection.HasVersion = version, true
				return nil
			}
		}
	}
	return refuseGoneVersion()
}

// onlyVersion returns the version of the route's servers if there has been no other one since the stream can have
// begun.
func (c *call) onlyVersion() (version string, ok bool) {
	if len(c.route.Targets) != 1 || !c.awaitCurrentList() {
		return "", false
	}
	version, since, ok := c.gateway.Balancer.OnlyVersion(c.pool)
	state := c.gateway.routes.state(c.route.Name)
	if state.since.After(since) {
		since = state.since
	}
	return version, ok && (since.IsZero() || clock.Since(since) >= c.maxStreamAge(state.longestDeadline))
}

// maxStreamAge returns how long ago a stream that the caller takes up can have begun. A caller comes back until its
// deadline, which it had when it began the stream: as long as others at most.
func (c *call) maxStreamAge(longestDeadline time.Duration) time.Duration {
	if _, ok := c.callerDeadline(); !ok || longestDeadline == 0 {
		return balance.VersionRetention
	}
	timeout := c.route.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	age := max(streamAgeFactor*timeout, longestDeadline)
	if c.gateway.MaxBackendsAge != nil {
		// Other routers may have sent requests to servers that this one knew to have left.
		age += c.gateway.MaxBackendsAge()
	}
	return min(age, balance.VersionRetention)
}

// recordDeadline records for how long a caller waits who begins a stream.
func (c *call) recordDeadline() {
	if deadline, ok := c.callerDeadline(); ok && c.route.Resumable && !c.progress.isTakenUp {
		c.gateway.routes.recordDeadline(c.route.Name, deadline)
	}
}

// callerDeadline returns for how long the caller waits, as it says.
func (c *call) callerDeadline() (deadline time.Duration, ok bool) {
	millis, err := strconv.ParseInt(c.request.Header.Get(c.gateway.Headers.Deadline), 10, 64)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(min(millis, maxTimeout.Milliseconds())) * time.Millisecond, true
}

// listPollInterval is the interval at which a request looks whether the list of backend servers is newer than itself.
const listPollInterval = 20 * time.Millisecond

// awaitCurrentList reports whether the list of backend servers is current. If the caller names the request that began
// the stream, other versions may serve, and the stream may have begun at one that this router doesn't know yet: all are
// listed before they serve, so that it waits for a list that is newer than the request.
func (c *call) awaitCurrentList() bool {
	age, maxAge := c.gateway.BackendsAge, time.Duration(0)
	if age == nil {
		return true
	}
	if c.gateway.MaxBackendsAge != nil {
		maxAge = c.gateway.MaxBackendsAge()
	}
	for c.resumes != "" && age() > clock.Since(c.arrived) && age() <= maxAge && c.ctx.Err() == nil {
		time.Sleep(listPollInterval)
	}
	return age() <= maxAge && (c.resumes == "" || age() <= clock.Since(c.arrived))
}
