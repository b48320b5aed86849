package gatewayd

import (
	"sync"
	"sync/atomic"
)

// admissionSwitch says whether admission control is active: whether servers are chosen by their speed, and
// whether requests of pools with few slots, and of all others, need permits. Set OnChange before the first
// call. It is safe for concurrent use.
type admissionSwitch struct {
	// OnChange is called with the new state after each change, one call at a time. It must not call
	// back into the switch.
	OnChange func(active bool)

	mu sync.Mutex
	// mode is from the settings read last. paceSeen says that a backend server has reported its pace.
	mode     AdmissionMode
	paceSeen bool
	active   atomic.Bool
	// usesShares is set in mode on.
	usesShares atomic.Bool
}

// SetMode applies the mode of the settings.
func (s *admissionSwitch) SetMode(mode AdmissionMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.updateLocked()
}

// RecordPace notes that a backend server has reported its pace.
func (s *admissionSwitch) RecordPace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paceSeen = true
	s.updateLocked()
}

// Active reports whether admission control is active.
func (s *admissionSwitch) Active() bool {
	return s.active.Load()
}

// UsesShares reports whether requests of pools with many slots need permits too.
func (s *admissionSwitch) UsesShares() bool {
	return s.usesShares.Load()
}

func (s *admissionSwitch) updateLocked() {
	s.usesShares.Store(s.mode == AdmissionOn)
	active := s.mode == AdmissionOn || s.mode == AdmissionAuto && s.paceSeen
	if s.active.Swap(active) != active && s.OnChange != nil {
		s.OnChange(active)
	}
}
