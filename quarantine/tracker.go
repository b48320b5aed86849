package quarantine

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

const (
	// maxRecords bounds the requests that are remembered, at about 300 bytes each. A server that
	// crashes adds a few dozen, and requests that are retried are kept as the most recently used.
	maxRecords = 4096
	// maxPending bounds the crashes that TakePending returns at a time, so that many crashes at once
	// don't become a burst of hundreds of datagrams. The others are sent next.
	maxPending = 512
	// stoppedWindow is how long after an attempt was stopped a crash of its server counts as one during the attempt, and
	// maxStopped bounds the attempts that are kept for it. A server that has begun to process a prompt crashes within
	// this time.
	stoppedWindow = 500 * time.Millisecond
	maxStopped    = 1024
	// recentPeriod is how long RecentCrashes returns the crashes of a record after a change.
	recentPeriod = 10 * time.Second
)

// Tracker tracks which requests were running when backend servers crashed, and quarantines those
// under which several crashed, and the prompt parts that account for several crashes. Otherwise a
// request that crashes each server that runs it, or requests of different content with such a part,
// would take down one after the other, whichever router the caller asks, together with everything
// else that runs there.
//
// The crashes that a router sees itself and those that other routers report form one set. The set
// only grows, so that routers which received the same crashes, in any order, reach the same
// decision on requests. That on prompt parts also depends on what completed at the router.
//
// Set the exported fields before the first call; the callbacks must not call back into the tracker.
type Tracker struct {
	// Self is the router's ID, Routers returns the live routers.
	Self    string
	Routers func() []slipwick.Router
	// OnPending is called when there are crashes to send to the other routers.
	OnPending func()
	// OnQuarantined is called for each request or prompt part that becomes quarantined, with the number
	// of servers that crashed under it, and OnReleased for each that is no longer quarantined.
	OnQuarantined func(key Key, crashes int)
	OnReleased    func(key Key)

	mu      sync.Mutex
	records *lru.LRU[Key, *record]
	// completedAt is when each request that this router sent last completed.
	completedAt *lru.LRU[Key, time.Time]
	running     map[Key]map[*Attempt]struct{}
	// stopped are the attempts that were stopped within stoppedWindow, the oldest first.
	stopped []*Attempt
	pending []Crash
	// overflow has the requests with crashes that found no room in pending, oldest first.
	overflow *lru.LRU[Key, struct{}]
	// suspects are the prompt parts with enough crashes to be attributed some. partsChanged says that
	// their crashes have changed since that was last done. attribute returns those that account for the
	// crashes.
	suspects     map[Key]struct{}
	partsChanged bool
	attribute    func([]suspect) []Key
	// changes are the requests whose status changed and whose callbacks were not called yet.
	changes []statusChange
}

// statusChange is a request or prompt part that became quarantined or was released.
type statusChange struct {
	key         Key
	quarantined bool
	crashes     int
}

// NewTracker returns an empty tracker for the router with this ID.
func NewTracker(self string) *Tracker {
	// NewLRU fails only for sizes that are not positive.
	records, _ := lru.NewLRU[Key, *record](maxRecords, nil)
	completedAt, _ := lru.NewLRU[Key, time.Time](maxRecords, nil)
	overflow, _ := lru.NewLRU[Key, struct{}](maxRecords, nil)
	return &Tracker{
		Self:          self,
		Routers:       func() []slipwick.Router { return nil },
		OnPending:     func() {},
		OnQuarantined: func(Key, int) {},
		OnReleased:    func(Key) {},
		records:       records,
		completedAt:   completedAt,
		running:       make(map[Key]map[*Attempt]struct{}),
		suspects:      make(map[Key]struct{}),
		attribute:     attribute,
		overflow:      overflow,
	}
}

// IsQuarantined reports whether the request or one of the parts of its prompt is quarantined.
func (t *Tracker) IsQuarantined(key Key, parts ...Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantinedLocked(key, parts)) > 0
}

// quarantinedLocked returns those of the keys of a request that are quarantined.
func (t *Tracker) quarantinedLocked(key Key, parts []Key) []Key {
	var quarantined []Key
	for _, k := range append([]Key{key}, parts...) {
		// Get keeps the record among the most recently used ones.
		if r, isKnown := t.records.Get(k); isKnown && r.quarantined {
			quarantined = append(quarantined, k)
		}
	}
	return quarantined
}

// Decision says whether a request may be sent to a backend server.
type Decision struct {
	// Refused says that the request must not be sent, and RetryAfter how long the caller has to
	// wait at least before it tries again.
	Refused    bool
	RetryAfter time.Duration
	// Trial says that the request is quarantined, but is sent once to find out whether it still
	// crashes servers.
	Trial bool
}

// minRetryAfter is the shortest wait returned to a caller. It applies when a trial is due, but
// another router has to run it.
const minRetryAfter = time.Second

// Admit decides whether a new request, with these parts of its prompt, may be sent.
func (t *Tracker) Admit(key Key, parts ...Key) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	quarantined := t.quarantinedLocked(key, parts)
	if len(quarantined) == 0 {
		return Decision{}
	}
	now, isOwner := clock.Now(), true
	var wait time.Duration
	for _, k := range quarantined {
		r, _ := t.records.Peek(k)
		wait = max(wait, r.untilNextTrial(now, k.IsPart()))
		isOwner = isOwner && t.ownsTrial(k)
	}
	if wait > 0 || !isOwner {
		return Decision{
			Refused:    true,
			RetryAfter: max(wait, minRetryAfter),
		}
	}
	for _, k := range quarantined {
		r, _ := t.records.Peek(k)
		r.lastTrial = now
	}
	return Decision{
		Trial: true,
	}
}

// ownsTrial reports whether this router is the one that runs the trials of the request: a trial at
// each router would crash many servers at once.
func (t *Tracker) ownsTrial(key Key) bool {
	routers := t.Routers()
	chosen := placement.BestRouter(uint64(key), routers)
	return chosen < 0 || routers[chosen].ID == t.Self
}

// Begin records that the request, with these parts of its prompt, is sent to a backend server. It
// returns false if the request or a part is quarantined and this is no trial. If the request becomes
// quarantined before the attempt ends, or a part before the server has begun to respond, stop is
// called, so that the attempt can be aborted before the server begins to run the request. It is called
// with the tracker locked, and so must not call back into it.
func (t *Tracker) Begin(
	key Key, backend *slipwick.Backend, isTrial bool, stop func(), parts ...Key,
) (*Attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isTrial && len(t.quarantinedLocked(key, parts)) > 0 {
		return nil, false
	}
	attempt := &Attempt{
		tracker: t,
		crash: Crash{
			Key:          key,
			ServerIDHash: placement.IDHash(backend.ID),
			Incarnation:  backend.StartTime,
		},
		parts: parts,
		stop:  stop,
	}
	for _, k := range attempt.keys() {
		if t.running[k] == nil {
			t.running[k] = make(map[*Attempt]struct{})
		}
		t.running[k][attempt] = struct{}{}
	}
	return attempt, true
}

func (t *Tracker) removeAttemptLocked(attempt *Attempt) {
	for _, k := range attempt.keys() {
		delete(t.running[k], attempt)
		if len(t.running[k]) == 0 {
			delete(t.running, k)
		}
	}
}

// addCrashLocked adds a crash, and updates the request's status if the crash is new. That of a prompt
// part depends on the other parts; attributeLocked updates it.
func (t *Tracker) addCrashLocked(crash Crash) {
	r, isKnown := t.records.Get(crash.Key)
	if !isKnown {
		r = &record{}
		t.records.Add(crash.Key, r)
	}
	if !r.add(crash, clock.Now()) {
		return
	}
	if len(t.pending) < maxPending {
		t.pending = append(t.pending, crash)
	} else {
		t.overflow.Add(crash.Key, struct{}{})
	}
	if crash.Key.IsPart() {
		t.updateSuspectLocked(crash.Key, r)
		return
	}
	t.setQuarantinedLocked(crash.Key, r, r.countCrashes() >= quarantineThreshold)
}

// setQuarantinedLocked updates the status of a request or prompt part. It stops the attempts of one
// that becomes quarantined.
func (t *Tracker) setQuarantinedLocked(key Key, r *record, quarantined bool) {
	if quarantined == r.quarantined {
		return
	}
	r.quarantined = quarantined
	t.changes = append(t.changes, statusChange{
		key:         key,
		quarantined: quarantined,
		crashes:     r.countCrashes(),
	})
	if !quarantined {
		return
	}
	for attempt := range t.running[key] {
		if !key.IsPart() || !attempt.hasBegun.Load() {
			t.stopLocked(attempt)
		}
	}
}

// stopLocked stops an attempt.
func (t *Tracker) stopLocked(attempt *Attempt) {
	attempt.stop()
	if attempt.stoppedAt.IsZero() && len(t.stopped) < maxStopped {
		attempt.stoppedAt = clock.Now()
		t.stopped = append(t.stopped, attempt)
	}
}

// addStoppedLocked adds a crash to the attempts at its server that were stopped shortly before: the server may have
// begun to process them. Otherwise the part at fault, whose attempts are stopped, would have fewer crashes than the
// parts of the requests that ran beside it.
func (t *Tracker) addStoppedLocked(crash Crash) {
	now := clock.Now()
	t.stopped = slices.DeleteFunc(t.stopped, func(a *Attempt) bool { return now.Sub(a.stoppedAt) > stoppedWindow })
	if crash.Excused {
		return
	}
	for _, attempt := range t.stopped {
		if !attempt.isAt(&crash) {
			continue
		}
		for _, part := range attempt.parts {
			crash.Key = part
			t.addCrashLocked(crash)
		}
	}
}

// updateSuspectLocked notes that the crashes of a prompt part have changed. Most parts have too few to
// be considered, so that a change costs little.
func (t *Tracker) updateSuspectLocked(key Key, r *record) {
	_, isSuspect := t.suspects[key]
	if !isSuspect && r.countCrashes() < partThreshold {
		return
	}
	t.suspects[key] = struct{}{}
	t.partsChanged = true
}

// attributeLocked updates which prompt parts are quarantined, if their crashes have changed.
func (t *Tracker) attributeLocked() {
	if !t.partsChanged {
		return
	}
	t.partsChanged = false
	var suspects []suspect
	for key := range t.suspects {
		r, isKnown := t.records.Peek(key)
		if !isKnown {
			delete(t.suspects, key)
			continue
		}
		completedAt, _ := t.completedAt.Peek(key)
		suspects = append(suspects, suspect{
			key:         key,
			crashes:     r.openCrashes(),
			completedAt: completedAt,
		})
	}
	causes := t.attribute(suspects)
	for i := range suspects {
		s := &suspects[i]
		r, _ := t.records.Peek(s.key)
		t.setQuarantinedLocked(s.key, r, slices.Contains(causes, s.key))
		if len(s.crashes) < partThreshold {
			delete(t.suspects, s.key)
		}
	}
}

// completedRecentlyLocked reports whether the request, sent by this router, has completed within
// recentCompletionPeriod.
func (t *Tracker) completedRecentlyLocked(key Key) bool {
	at, isKnown := t.completedAt.Get(key)
	return isKnown && clock.Since(at) < recentCompletionPeriod
}

// recordCompletionLocked records that a server completed the request, or one with the prompt part,
// which excuses it from its crashes.
func (t *Tracker) recordCompletionLocked(key Key) {
	t.completedAt.Add(key, clock.Now())
	r, isKnown := t.records.Peek(key)
	if !isKnown {
		return
	}
	for _, crash := range slices.Clone(r.crashes) {
		crash.Excused = true
		t.addCrashLocked(crash)
	}
}

// Merge adds crashes that another router reported.
func (t *Tracker) Merge(crashes []Crash) {
	t.mu.Lock()
	for _, crash := range crashes {
		t.addCrashLocked(crash)
		t.addStoppedLocked(crash)
	}
	t.unlockAndNotify()
}

// unlockAndNotify releases the lock and calls the callbacks for what changed while it was held.
func (t *Tracker) unlockAndNotify() {
	t.attributeLocked()
	changes, hasPending := t.changes, len(t.pending) > 0
	t.changes = nil
	t.mu.Unlock()
	for _, c := range changes {
		if c.quarantined {
			t.OnQuarantined(c.key, c.crashes)
		} else {
			t.OnReleased(c.key)
		}
	}
	if hasPending {
		t.OnPending()
	}
}

// TakePending removes and returns crashes that were not yet sent to the other routers, up to maxPending.
// It calls OnPending if there are more.
func (t *Tracker) TakePending() []Crash {
	t.mu.Lock()
	crashes := t.pending
	t.pending = nil
	for len(t.pending) <= maxPending-maxCrashesPerRequest {
		key, _, ok := t.overflow.RemoveOldest()
		if !ok {
			break
		}
		// Which of the crashes were sent already is not known.
		if r, isKnown := t.records.Peek(key); isKnown {
			t.pending = append(t.pending, r.crashes...)
		}
	}
	t.unlockAndNotify()
	return crashes
}

// RecentCrashes returns up to limit crashes: first those of quarantined requests, then those of
// requests with several crashes whose record changed recently. They are for routers that started
// since, or that missed an update.
func (t *Tracker) RecentCrashes(limit int) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var quarantined, changed []Crash
	now := clock.Now()
	for _, r := range t.records.Values() {
		switch {
		case r.quarantined:
			quarantined = append(quarantined, r.crashes...)
		case len(r.crashes) > 1 && now.Sub(r.changedAt) < recentPeriod:
			changed = append(changed, r.crashes...)
		}
	}
	crashes := slices.Concat(quarantined, changed)
	return crashes[:min(len(crashes), limit)]
}

// QuarantinedCount returns the number of quarantined requests and prompt parts.
func (t *Tracker) QuarantinedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	quarantined := 0
	for _, r := range t.records.Values() {
		if r.quarantined {
			quarantined++
		}
	}
	return quarantined
}
