package gatewayd

import (
	"sync"
	"sync/atomic"
)

// autoPermits says whether mode auto asks for permits of pools with few slots once a backend server has reported
// its pace.
const autoPermits = false

// admissionSwitch says whether admission control is active: whether servers are chosen by their speed,
// and whether requests need permits. Set the exported fields before the first call. It is safe for concurrent
// use.
type admissionSwitch struct {
	// AutoPermits says that mode auto asks for permits of pools with few slots too.
	AutoPermits bool
	// OnChange is called with the new state after each change, one call at a time. It must not call
	// back into the switch.
	OnChange func(active bool)

	mu sync.Mutex
	// mode is from the settings read last. paceSeen says that a backend server has reported its pace.
	mode     AdmissionMode
	paceSeen bool
	active   atomic.Bool
	// needsPermits says that requests to pools with few slots need permits, needsShares that those to other
	// pools do, which mode auto doesn't ask for.
	needsPermits, needsShares atomic.Bool
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

// NeedsPermits reports whether requests need permits, at least those to pools with few slots.
func (s *admissionSwitch) NeedsPermits() bool {
	return s.needsPermits.Load()
}

// NeedsShares reports whether requests to pools with many slots need permits.
func (s *admissionSwitch) NeedsShares() bool {
	return s.needsShares.Load()
}

func (s *admissionSwitch) updateLocked() {
	active := s.mode == AdmissionOn || s.mode == AdmissionAuto && s.paceSeen
	s.needsShares.Store(s.mode == AdmissionOn)
	s.needsPermits.Store(s.mode == AdmissionOn || active && s.AutoPermits)
	if s.active.Swap(active) != active && s.OnChange != nil {
		s.OnChange(active)
	}
}
