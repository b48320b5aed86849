package admission

import "time"

// Policy holds the figures by which owners and askers decide. DefaultPolicy
// gives measured ones; docs/design/admission.md says how they were found.
type Policy struct {
	// HomeWait is how long a chat's first choice holds a request that the
	// limit refuses, before the request moves on.
	HomeWait time.Duration
	// OtherWait is the same at further choices.
	OtherWait time.Duration
	// Tries is how many engines are asked before the request waits at one
	// until its time is up.
	Tries int
	// OwnerTimeout is how long an owner may stay silent.
	OwnerTimeout time.Duration
	// LeaseTime is how long a slot lasts without renewal.
	LeaseTime time.Duration
	// RenewEvery is how often a slot is renewed.
	RenewEvery time.Duration
	// OrphanTime is what is left of a lease whose holder is gone.
	OrphanTime time.Duration
	// TakeoverWindow is how long a new owner grants at most half of the
	// headroom, as its predecessor may still grant the rest.
	TakeoverWindow time.Duration
	// ReportGap is the least time between two load reports of a pool.
	ReportGap time.Duration
	// PressedGap is the same while requests wait for the limit to rise.
	PressedGap time.Duration
	// RefreshEvery is how often loads are reported without a change.
	RefreshEvery time.Duration
	// ReportExpiry is how long a report counts.
	ReportExpiry time.Duration
	// RiseChange and FallChange are the changes of load, as shares, that are
	// reported before RefreshEvery.
	RiseChange, FallChange float64
	// HeldShare is the share of its slots that an owner holds requests for
	// when the pool's load must be rising.
	HeldShare float64
	// ReportLag is how old, at most, reports are when they arrive; a falling
	// load is taken to have fallen on for so long.
	ReportLag time.Duration
	// Margin is the share by which the estimate of a pool's load is lowered
	// for the limit, as reports lag behind.
	Margin float64
	// PressedChange is the same while requests wait for the limit to rise or
	// the pool's load falls fast.
	PressedChange float64
	// FastFall is the share of its load that a pool loses in a second when
	// it falls fast.
	FastFall float64
	// QueueLimit is the most requests held for one engine.
	QueueLimit int
	// EjectAfter is how many requests in a row have to speak against an
	// engine.
	EjectAfter int
	// EjectFor is how long the first ejection lasts; each further one
	// doubles it up to EjectMax.
	EjectFor time.Duration
	EjectMax time.Duration
	// SlowReturn is how long an engine's limit takes to rise after it.
	SlowReturn time.Duration
	// Memory is how many displaced chats an owner remembers.
	Memory int
}

// DefaultPolicy gives the measured figures.
func DefaultPolicy() Policy {
	return Policy{
		HomeWait:       450 * time.Millisecond,
		OtherWait:      50 * time.Millisecond,
		Tries:          3,
		OwnerTimeout:   300 * time.Millisecond,
		LeaseTime:      30 * time.Second,
		RenewEvery:     10 * time.Second,
		OrphanTime:     5 * time.Second,
		TakeoverWindow: 3 * time.Second,
		ReportGap:      250 * time.Millisecond,
		PressedGap:     25 * time.Millisecond,
		RefreshEvery:   2 * time.Second,
		ReportExpiry:   5 * time.Second,
		RiseChange:     0.08,
		FallChange:     0.03,
		HeldShare:      0.1,
		ReportLag:      600 * time.Millisecond,
		Margin:         0.035,
		PressedChange:  0.02,
		FastFall:       0.08,
		QueueLimit:     256,
		EjectAfter:     3,
		EjectFor:       5 * time.Second,
		EjectMax:       time.Minute,
		SlowReturn:     10 * time.Second,
		Memory:         8192,
	}
}
