package directory

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
)

const (
	// The store counts as down at a failed call if its latest response is older than
	// outageHeartbeats heartbeat intervals. Entries expire after a few missed heartbeats, and the
	// store may have been unreachable for the servers for longer than for this router.
	outageHeartbeats = 1.25
	// DefaultHeartbeat is the heartbeat interval if the settings have none.
	DefaultHeartbeat = 1200 * time.Millisecond
	// reregisterTime is how long servers have to write their entries again after an outage of
	// the store, which they do within about 2 s. It is bounded by reregisterShare of
	// Backends.LeaveTime, so that a server that is gone gets nothing new after LeaveTime, also
	// after an outage, and is itself that share of 2 s, the LeaveTime if the settings have none.
	reregisterTime  = 1900 * time.Millisecond
	reregisterShare = 0.95
	// Suspect entries are trusted no earlier than heartbeat / trustDelayDivisor after the response
	// that shows it, so that the changes of that response are applied first.
	trustDelayDivisor = 4
)

// Backends maintains the list of backend servers from the changes of their entries. Set the
// exported fields before the first call. It is safe for concurrent use.
type Backends struct {
	// OnChange receives the changes of the list, which are empty if a response had none. Calls
	// do not overlap, and must not call back into the list.
	OnChange func(*balance.Changes)
	// Heartbeat is the interval at which servers renew their entries. LeaveTime is the time after
	// which a server that leaves, or is gone, gets no new requests. With 0, DefaultHeartbeat
	// applies and reregisterTime has no bound.
	Heartbeat, LeaveTime time.Duration

	mu sync.Mutex
	// entries has the entries that the store lists, expired those that disappeared within a grace
	// period and stay in use until its end, both by name.
	entries map[string]balance.Entry
	expired map[string]balance.Entry
	// written has the names of entries that were written since the grace period began: these cannot
	// have expired within it.
	written map[string]bool
	// ids has the IDs of the published backend servers, by the name of their entry.
	ids map[string]string
	// respondedAt is when the latest response arrived, confirmedAt when the store was in the state
	// of that response.
	respondedAt, confirmedAt time.Time
	// failed is true if the latest call failed, inOutage if the store had not responded for some
	// time.
	failed, inOutage bool
	// graceUntil is until when entries that disappear count as expired, and stay in use;
	// graceTimer ends that.
	graceUntil time.Time
	graceTimer *time.Timer
	// graceStarted is true if the next changes are from the response that began the grace period.
	graceStarted bool
	// restored is true if the next changes are from the first list after the store was restored
	// from a backup.
	restored   bool
	departures departures
	// suspicion is how long entries of a restored store are suspect; trustTimer ends that.
	suspicion  suspicion
	trustTimer *time.Timer
}

// NewBackends returns an empty list that reports its changes to onChange.
func NewBackends(onChange func(*balance.Changes)) *Backends {
	return &Backends{
		OnChange: onChange,
		entries:  make(map[string]balance.Entry),
		expired:  make(map[string]balance.Entry),
		written:  make(map[string]bool),
		ids:      make(map[string]string),

		departures: newDepartures(),
	}
}

// StoreRestored starts a grace period after the store was restored from a backup. Call it before
// Apply with the resulting changes. Entries that the backup lacks may have been written after
// it, and are treated as if they had expired; entries that it has may belong to servers that
// have left since. StableFor is how long ago the fleet noticed the restore. This router had no
// outage of its own, so servers get the full time to write their entries again. Age is how long
// ago the store was in the state of the response.
func (b *Backends) StoreRestored(age, stableFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restored = true
	b.startGraceLocked(clock.Now(), b.gracePeriod(math.MaxInt64, math.MaxInt64)-stableFor)
	b.suspicion.begin(clock.Now().Add(-age), b.heartbeat())
	b.scheduleTrustLocked()
}

// scheduleTrustLocked makes entries that are suspect, and still listed by then, trusted at the end
// of the suspicion. The changes of the response that is being handled are applied before that.
func (b *Backends) scheduleTrustLocked() {
	if b.trustTimer != nil {
		b.trustTimer.Stop()
	}
	left := b.suspicion.end(b.heartbeat()).Sub(clock.Now())
	b.trustTimer = time.AfterFunc(max(left, b.heartbeat()/trustDelayDivisor), b.trustListed)
}

// trustListed trusts all suspect entries that the store still lists. If the store has not
// responded lately, the next response schedules it again.
func (b *Backends) trustListed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isUnresponsiveLocked() {
		return
	}
	if len(b.departures.suspect) > 0 {
		suspect := slices.Collect(maps.Keys(b.departures.suspect))
		clear(b.departures.suspect)
		b.publishLocked(suspect)
	}
}

// resumeTrustLocked adjusts the wait until suspect entries are trusted at a response after calls that
// failed, or after an interruption that others know of. If the store is known to have responded since
// before this router's latest response, an outage was this router's or its peers' alone, and has not
// restarted the expiry time of any entry. Others may not have noticed an interruption that is shorter.
func (b *Backends) resumeTrustLocked(age, stableFor time.Duration) {
	now := clock.Now()
	confirmedAt := now.Add(-age)
	isStable := !now.Add(-stableFor - stableMargin).After(b.confirmedAt)
	// 0 stands for unknown, which shows no interruption.
	if !b.isUnresponsiveLocked() && (isStable || stableFor == 0) {
		return
	}
	// Each includes the time that a copy took to arrive, the last before the gap or the first after it.
	down := min(now.Sub(b.respondedAt), confirmedAt.Sub(b.confirmedAt))
	switch {
	case down <= b.outageAfter():
		b.suspicion.interrupt(b.confirmedAt, confirmedAt, b.heartbeat())
	case !isStable:
		b.suspicion.begin(confirmedAt, b.heartbeat())
	}
	b.scheduleTrustLocked()
}

// isUnresponsiveLocked reports whether the store has not responded lately. A store that was down
// may restart the expiry time of entries that nobody renews.
func (b *Backends) isUnresponsiveLocked() bool {
	return b.failed || clock.Since(b.respondedAt) > b.outageAfter()
}

// RecordResponse records a response of the store and ends an outage. Age is how long ago the store was
// in the state of the response, stableFor for how long it has been known to respond. If the store
// responded to other routers since before this router's outage, the outage was this router's alone
// and leaves no grace period.
func (b *Backends) RecordResponse(age, stableFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.departures.suspect) > 0 {
		b.resumeTrustLocked(age, stableFor)
	}
	b.graceStarted = false
	previous, confirmed := b.respondedAt, b.confirmedAt
	b.respondedAt = clock.Now()
	b.confirmedAt = b.respondedAt.Add(-age)
	b.failed = false
	// After a restore the grace period is already running.
	wasInOutage := b.inOutage && !b.restored
	b.inOutage = false
	if wasInOutage {
		b.startGraceLocked(b.respondedAt, b.gracePeriod(b.respondedAt.Sub(previous), b.respondedAt.Sub(confirmed))-stableFor)
	}
}

// Age returns how long ago the store was in the state of the list.
func (b *Backends) Age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Since(b.confirmedAt)
}

// RecordFailure records a failed call to the store.
func (b *Backends) RecordFailure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = true
	b.inOutage = b.inOutage || clock.Since(b.respondedAt) > b.outageAfter()
}

// outageAfter returns for how long the store may not respond before it counts as down.
func (b *Backends) outageAfter() time.Duration {
	return time.Duration(outageHeartbeats * float64(b.heartbeat()))
}

func (b *Backends) heartbeat() time.Duration {
	if b.Heartbeat <= 0 {
		return DefaultHeartbeat
	}
	return b.Heartbeat
}

// gracePeriod returns how long servers have to write their entries again after an outage. An
// outage shorter than LeaveTime may have affected only this router, through a slow peer, while the
// store served others. Entries may then have disappeared as early as the latest copy before the
// outage was confirmed, sinceConfirmed ago, and are kept no longer than LeaveTime from that time.
func (b *Backends) gracePeriod(outage, sinceConfirmed time.Duration) time.Duration {
	if b.LeaveTime <= 0 {
		return reregisterTime
	}
	leave := time.Duration(reregisterShare * float64(b.LeaveTime))
	if outage < leave {
		return min(reregisterTime, leave-sinceConfirmed)
	}
	return min(reregisterTime, leave)
}

func (b *Backends) startGraceLocked(now time.Time, period time.Duration) {
	clear(b.written)
	b.graceStarted = true
	b.graceUntil = now.Add(period)
	if b.graceTimer != nil {
		b.graceTimer.Stop()
	}
	b.graceTimer = time.AfterFunc(period, b.dropExpired)
}

// dropExpired removes the expired entries that were not written again in time.
func (b *Backends) dropExpired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.expired) == 0 {
		return
	}
	expired := slices.Collect(maps.Keys(b.expired))
	clear(b.expired)
	b.publishLocked(expired)
}

// Apply applies changes of entries and reports the resulting changes of the list.
func (b *Backends) Apply(changes []Change[balance.Entry]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isRestored := b.restored
	isFirst := isRestored || b.graceStarted
	b.restored, b.graceStarted = false, false
	if len(b.entries) == 0 && len(b.ids) == 0 {
		b.entries = make(map[string]balance.Entry, len(changes))
		b.ids = make(map[string]string, len(changes))
	}
	names := make([]string, 0, len(changes))
	for _, c := range changes {
		names = append(names, c.Name)
		listed, known := b.entries[c.Name]
		switch {
		case c.Invalid:
			// An entry that cannot be decoded names no server to use, whatever it named before.
			// Requests that already run on that server go on.
			delete(b.entries, c.Name)
			delete(b.expired, c.Name)
		case !c.Removed:
			b.checkEntryLocked(c.Name, &c.Value, isRestored)
			c.Value.ColdUntil = clock.Now().Add(c.Value.ColdTime)
			b.entries[c.Name] = c.Value
			delete(b.expired, c.Name)
			if !isFirst && clock.Now().Before(b.graceUntil) {
				b.written[c.Name] = true
			}
		case known:
			delete(b.entries, c.Name)
			isSuspect := b.departures.suspect[c.Name]
			b.departures.recordRemoval(c.Name, &listed)
			if !isSuspect {
				b.keepExpiredLocked(c.Name, listed)
			}
		}
	}
	b.publishLocked(names)
}

// checkEntryLocked marks an entry as suspect if it is from the first list after a restore and
// its server had left, and trusts one that was written later.
func (b *Backends) checkEntryLocked(name string, received *balance.Entry, isRestored bool) {
	var known *balance.Entry
	if listed, ok := b.entries[name]; ok {
		known = &listed
	}
	if isRestored {
		b.departures.checkRestored(name, known, received)
		return
	}
	b.departures.checkWritten(name, known, received)
}

// keepExpiredLocked keeps an entry that disappeared within the grace period, unless its server
// was leaving anyway, or the entry was written within that period.
func (b *Backends) keepExpiredLocked(name string, listed balance.Entry) {
	if clock.Now().Before(b.graceUntil) && !listed.Leaving && !b.written[name] {
		b.expired[name] = listed
	}
}

// publishLocked reports the named entries. What is published for each depends on that entry
// only.
func (b *Backends) publishLocked(names []string) {
	changes := balance.Changes{
		Entries: make([]balance.Entry, 0, len(names)),
	}
	for _, name := range names {
		listed, ok := b.entries[name]
		if ok {
			listed.Leaving = listed.Leaving || b.departures.suspect[name]
		} else {
			listed, ok = b.expired[name]
		}
		if id := b.ids[name]; id != "" && (!ok || id != listed.ID) {
			changes.Removed = append(changes.Removed, id)
			delete(b.ids, name)
		}
		if ok {
			changes.Entries = append(changes.Entries, listed)
			b.ids[name] = listed.ID
		}
	}
	b.OnChange(&changes)
}
