package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// renewInterval is how often servers and the operator check that their entries are still
	// stored, and renew them. The store removes entries that nobody has renewed for entryLifetime.
	renewInterval = 1200 * time.Millisecond
	entryLifetime = 3 * renewInterval
)

// restore restores the store from a backup of the given age. Writes after the backup are lost, and
// their revisions will be assigned again to other writes.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events, backupTime := s.events, time.Now().Add(-age)
	s.events, s.revision = nil, 0
	s.objects = make(map[string]map[string]object)
	for i := range events {
		if events[i].at.After(backupTime) {
			break
		}
		s.events = append(s.events, events[i])
		s.revision = events[i].Object.Metadata.Revision
		s.applyLocked(&events[i])
	}
	s.timeline++
	s.mode, s.healthySince = storeServes, time.Now()
	s.wakeWatchesLocked()
}

// rewriteMissing writes the entries again that the backup lacks or has in an older state, as the
// operator and the servers would at their next check.
func (s *store) rewriteMissing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.lastWrites {
		name := e.Object.Metadata.Name
		stored, ok := s.objects[e.kind][name]
		if !e.Tombstone && (!ok || stored.Metadata.Revision != e.Object.Metadata.Revision) {
			s.lastWrites[e.kind+"/"+name] = s.writeLocked(e.kind, name, e.Object.Specification, false)
		}
	}
}

// removeExpired removes entries that are in the store again since the restore although their owners
// had removed them. Nobody renews such entries, so that the store would remove them after
// entryLifetime.
func (s *store) removeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.lastWrites {
		if _, ok := s.objects[e.kind][e.Object.Metadata.Name]; ok && e.Tombstone {
			s.writeLocked(e.kind, e.Object.Metadata.Name, nil, true)
		}
	}
}

// restoreStore restores the store from a backup after a short outage. In two of three cases, the
// store accepted a configuration version or the draining state of a server just before the outage,
// which the backup lacks.
func restoreStore(f *fleet, random *rand.Rand, duration time.Duration) {
	switch random.IntN(3) {
	case 0:
		f.configure()
	case 1:
		go drainBackend(f, rand.New(rand.NewPCG(random.Uint64(), 3)), duration)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	outage := time.Duration(random.IntN(1500)) * time.Millisecond
	f.store.setMode(storeRefuses)
	time.Sleep(outage)
	f.store.restore(outage + time.Duration(1000+random.IntN(7000))*time.Millisecond)
	time.Sleep(time.Duration(random.Int64N(int64(renewInterval))))
	f.store.rewriteMissing()
	time.Sleep(entryLifetime)
	f.store.removeExpired()
}
