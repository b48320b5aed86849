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
	// awayShare of a heartbeat is how long the store has to be silent at a
	// failed call to count as away: entries lapse after some missed heartbeats,
	// and the store may have been away for the servers longer than for this
	// router.
	outageShare = 1.25
	// DefaultHeartbeat is taken where no settings name one.
	DefaultHeartbeat = 1200 * time.Millisecond
	// returnTime is how long servers have after the store's return to enter
	// themselves again: they do within about 2 s. returnShare of the time after
	// which one that is gone gets nothing new bounds it.
	reregisterTime  = 1900 * time.Millisecond
	reregisterShare = 0.95
)

// Backends keeps the list of backend servers. Set the exported fields before
// the first call.
type Backends struct {
	// OnChange takes the changes of the list, one call at a time; none if an answer
	// brought none.
	OnChange func(*balance.Changes)
	// Heartbeat is how often servers renew their entries, Leave the time after
	// which one that leaves or is gone gets nothing new; 0 stands for the
	// defaults.
	Heartbeat, Leave time.Duration

	mu      sync.Mutex
	entries map[string]balance.Listed
	expired map[string]balance.Listed
	// ids are the backend servers that are published, by the name of their entry.
	ids map[string]string
	// answered is when the latest answer came, confirmed when the store was in its state.
	answeredAt, confirmedAt time.Time
	// failed says that the latest call did, away that the store gave no answer for some time.
	failed, inOutage bool
	// grace is until when entries that vanish count as lapsed.
	graceUntil time.Time
	graceTimer *time.Timer
	// fellBack says that the next changes are those of the first list since the store
	// came back from a copy.
	restored   bool
	departures departures
	trustTimer *time.Timer
}

// NewBackends makes an empty list.
func NewBackends(onChange func(*balance.Changes)) *Backends {
	return &Backends{
		OnChange: onChange,
		entries:  make(map[string]balance.Listed),
		expired:  make(map[string]balance.Listed),
		ids:      make(map[string]string),

		departures: newDepartures(),
	}
}

// FellBack notes that the store came back from a copy of itself, before the changes that
// this makes: what the copy lacks may have come since, as if it had lapsed, and what it
// lists may have left since. Steady is how long ago the fleet knew. This is no gap of this
// router's own, so that what is missing has the whole time to be written again. Age is how
// long ago the store was in the state of the answer.
func (b *Backends) FellBack(age, steady time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restored = true
	b.startGraceLocked(clock.Now(), b.gracePeriod(math.MaxInt64, math.MaxInt64)-steady)
	b.scheduleTrustLocked(age)
}

// settleAfterLocked has what is doubted be believed lapseBeats after the store is known to have
// answered, age ago, if it is still listed then: by that time it has dropped what nobody
// renews, whenever this router heard of it.
func (b *Backends) scheduleTrustLocked(age time.Duration) {
	if b.trustTimer != nil {
		b.trustTimer.Stop()
	}
	b.trustTimer = time.AfterFunc(max(expiryHeartbeats*b.heartbeat()-age, 0), b.trustListed)
}

// settle believes what the store still lists, unless it has been silent of late.
func (b *Backends) trustListed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isUnresponsiveLocked() {
		b.scheduleTrustLocked(0)
		return
	}
	if len(b.departures.suspect) > 0 {
		suspect := slices.Collect(maps.Keys(b.departures.suspect))
		clear(b.departures.suspect)
		b.publishLocked(suspect)
	}
}

// interruptedLocked tells whether the store has answered nothing lately: a store that was
// away may give what nobody renews its time anew.
func (b *Backends) isUnresponsiveLocked() bool {
	return b.failed || clock.Since(b.answeredAt) > b.outageAfter()
}

// Answered notes that the store answered, how long ago it was in the state of the answer, and
// for how long it has been known to answer: it is back if it was away. One that has answered
// others since before this router's silence was not.
func (b *Backends) Answered(age, steady time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isUnresponsiveLocked() && len(b.departures.suspect) > 0 {
		b.scheduleTrustLocked(age)
	}
	previous, confirmed := b.answeredAt, b.confirmedAt
	b.answeredAt = clock.Now()
	b.confirmedAt = b.answeredAt.Add(-age)
	b.failed = false
	// One that came back from a copy has its time already.
	wasInOutage := b.inOutage && !b.restored
	b.inOutage = false
	if wasInOutage {
		b.startGraceLocked(b.answeredAt, b.gracePeriod(b.answeredAt.Sub(previous), b.answeredAt.Sub(confirmed))-steady)
	}
}

// Failed notes that a call to the store failed.
func (b *Backends) Failed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = true
	b.inOutage = b.inOutage || clock.Since(b.answeredAt) > b.outageAfter()
}

func (b *Backends) outageAfter() time.Duration {
	return time.Duration(outageShare * float64(b.heartbeat()))
}

func (b *Backends) heartbeat() time.Duration {
	if b.Heartbeat <= 0 {
		return DefaultHeartbeat
	}
	return b.Heartbeat
}

// returnWithin is how long servers have to enter themselves again after a silence. One that
// is shorter than the time after which what is gone gets nothing new may be this router's
// alone, which followed a slow one, while the store served others: what vanished may have
// gone as soon as the latest copy before it was confirmed, which is unconfirmed ago, and is
// kept no longer than that time from there.
func (b *Backends) gracePeriod(outage, unconfirmed time.Duration) time.Duration {
	if b.Leave <= 0 {
		return reregisterTime
	}
	leave := time.Duration(reregisterShare * float64(b.Leave))
	if outage < leave {
		return min(reregisterTime, leave-unconfirmed)
	}
	return min(reregisterTime, leave)
}

func (b *Backends) startGraceLocked(now time.Time, within time.Duration) {
	b.graceUntil = now.Add(within)
	if b.graceTimer != nil {
		b.graceTimer.Stop()
	}
	b.graceTimer = time.AfterFunc(within, b.dropExpired)
}

// dropLapsed removes what did not come back in time.
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

// Change takes changes.
func (b *Backends) Change(changes []Change[balance.Listed]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isRestored := b.restored
	b.restored = false
	if len(b.entries) == 0 && len(b.ids) == 0 {
		b.entries = make(map[string]balance.Listed, len(changes))
		b.ids = make(map[string]string, len(changes))
	}
	names := make([]string, 0, len(changes))
	for _, c := range changes {
		names = append(names, c.Name)
		listed, known := b.entries[c.Name]
		switch {
		case c.Invalid:
			// It names no server to use, whatever it did before. What runs there goes on.
			delete(b.entries, c.Name)
			delete(b.expired, c.Name)
		case !c.Gone:
			b.checkEntryLocked(c.Name, &c.Value, isRestored)
			c.Value.ColdUntil = clock.Now().Add(c.Value.ColdTime)
			b.entries[c.Name] = c.Value
			delete(b.expired, c.Name)
		case known:
			delete(b.entries, c.Name)
			isSuspect := b.departures.suspect[c.Name]
			b.departures.removed(c.Name, &listed)
			if !isSuspect {
				b.keepExpiredLocked(c.Name, listed)
			}
		}
	}
	b.publishLocked(names)
}

// judgeLocked doubts an entry of the first list since the store's return, if its server
// had left, and believes one that was written since.
func (b *Backends) checkEntryLocked(name string, received *balance.Listed, isRestored bool) {
	var known *balance.Listed
	if listed, ok := b.entries[name]; ok {
		known = &listed
	}
	if isRestored {
		b.departures.checkRestored(name, known, received)
		return
	}
	b.departures.checkWritten(name, known, received)
}

// vanishedLocked keeps an entry that vanished while the store was away, unless
// its server was leaving anyway.
func (b *Backends) keepExpiredLocked(name string, listed balance.Listed) {
	if clock.Now().Before(b.graceUntil) && !listed.Leaving {
		b.expired[name] = listed
	}
}

// publishLocked tells of the entries with the names: what is published of each goes by its
// entry alone.
func (b *Backends) publishLocked(names []string) {
	changes := balance.Changes{
		Listed: make([]balance.Listed, 0, len(names)),
	}
	for _, name := range names {
		listed, ok := b.entries[name]
		if ok {
			listed.Leaving = listed.Leaving || b.departures.suspect[name]
		} else {
			listed, ok = b.expired[name]
		}
		if id := b.ids[name]; id != "" && (!ok || id != listed.ID) {
			changes.Gone = append(changes.Gone, id)
			delete(b.ids, name)
		}
		if ok {
			changes.Listed = append(changes.Listed, listed)
			b.ids[name] = listed.ID
		}
	}
	b.OnChange(&changes)
}
