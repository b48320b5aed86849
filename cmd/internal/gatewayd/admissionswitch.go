package gatewayd

import (
	"sync"
	"sync/atomic"
)

// admissionSwitch says whether admission control is active: whether servers are chosen by their speed,
// and whether requests need permits, which mode auto doesn't ask for. Set OnChange before the first call. It is
// safe for concurrent use.
type admissionSwitch struct {
	// OnChange is called with the new state after each change, one call at a time. It must not call
	// back into the switch.
	OnChange func(active bool)

	mu sync.Mutex
	// mode is from the settings read last. paceSeen says that a backend server has reported its pace.
	mode     AdmissionMode
	paceSeen bool
	active   atomic.Bool
	// needsPermits is set in mode on.
	needsPermits atomic.Bool
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

// NeedsPermits reports whether requests need permits.
func (s *admissionSwitch) NeedsPermits() bool {
	return s.needsPermits.Load()
}

func (s *admissionSwitch) updateLocked() {
	s.needsPermits.Store(s.mode == AdmissionOn)
	active := s.mode == AdmissionOn || s.mode == AdmissionAuto && s.paceSeen
	if s.active.Swap(active) != active && s.OnChange != nil {
		s.OnChange(active)
	}
}
