package admission

import "time"

// Policy holds the tuning parameters of admission. docs/design/admission.md describes the
// measurements behind the values of DefaultPolicy.
type Policy struct {
	// FirstChoiceWait is how long the owner of a chat's first choice queues a request that exceeds
	// the limit before the request is sent elsewhere.
	FirstChoiceWait time.Duration
	// OtherChoiceWait is the same for the other choices.
	OtherChoiceWait time.Duration
	// MaxAttempts is the number of backend servers that are asked before the request waits at one
	// of them until its deadline.
	MaxAttempts int
	// OwnerTimeout is how long an owner may take to answer before the next one is asked.
	OwnerTimeout time.Duration
	// LeaseTime is how long a lease is valid without renewal.
	LeaseTime time.Duration
	// RenewInterval is the interval at which routers renew the leases of their slots.
	RenewInterval time.Duration
	// OrphanLeaseTime is how long the leases of a router that failed stay valid.
	OrphanLeaseTime time.Duration
	// TakeoverWindow is how long a new owner grants at most half of the headroom, as the previous
	// owner may still grant the other half.
	TakeoverWindow time.Duration
	// MinReportInterval is the minimum interval between two load reports of a pool.
	MinReportInterval time.Duration
	// PressedReportInterval is the same for a load that fell, and for a pool under pressure: requests
	// wait for the limit to rise, or the load falls fast.
	PressedReportInterval time.Duration
	// RefreshInterval is the interval at which an unchanged load is reported again.
	RefreshInterval time.Duration
	// ReportExpiry is how long a load report is valid.
	ReportExpiry time.Duration
	// RiseChange and FallChange are the relative changes of the load that are reported without
	// waiting for RefreshInterval.
	RiseChange, FallChange float64
	// QueuePressureRatio is the ratio of queued requests to slots held above which an owner
	// concludes that the load of the pool is rising.
	QueuePressureRatio float64
	// ReportLag is the maximum age of load reports when they arrive. A falling load is extrapolated
	// by this time.
	ReportLag time.Duration
	// LimitMargin is the fraction by which the load factor is lowered for the limit, as reports lag
	// behind and the estimate of the pool's load may be too high.
	LimitMargin float64
	// PressedChange replaces RiseChange and FallChange for a pool under pressure.
	PressedChange float64
	// FastFallRate is the relative decrease of a pool's load per second above which the load counts
	// as falling fast.
	FastFallRate float64
	// QueueLimit is the maximum number of requests queued for one backend server.
	QueueLimit int
	// EjectAfter is the number of failures in a row after which a backend server is ejected.
	EjectAfter int
	// EjectTime is the duration of the first ejection. Each further ejection in succession lasts
	// twice as long as the one before, up to MaxEjectTime.
	EjectTime    time.Duration
	MaxEjectTime time.Duration
	// RampUpTime is the time in which the limit of a restored backend server rises to its full
	// value.
	RampUpTime time.Duration
	// MaxDisplacedChats is the maximum number of displaced chats, those not served by their first
	// choice, that an owner remembers.
	MaxDisplacedChats int
}

// DefaultPolicy returns the values found by measurement.
func DefaultPolicy() Policy {
	return Policy{
		FirstChoiceWait:       450 * time.Millisecond,
		OtherChoiceWait:       50 * time.Millisecond,
		MaxAttempts:           3,
		OwnerTimeout:          300 * time.Millisecond,
		LeaseTime:             30 * time.Second,
		RenewInterval:         10 * time.Second,
		OrphanLeaseTime:       5 * time.Second,
		TakeoverWindow:        3 * time.Second,
		MinReportInterval:     250 * time.Millisecond,
		PressedReportInterval: 25 * time.Millisecond,
		RefreshInterval:       2 * time.Second,
		ReportExpiry:          5 * time.Second,
		RiseChange:            0.08,
		FallChange:            0.03,
		QueuePressureRatio:    0.1,
		ReportLag:             600 * time.Millisecond,
		LimitMargin:           0.035,
		PressedChange:         0.02,
		FastFallRate:          0.08,
		QueueLimit:            256,
		EjectAfter:            3,
		EjectTime:             5 * time.Second,
		MaxEjectTime:          time.Minute,
		RampUpTime:            10 * time.Second,
		MaxDisplacedChats:     8192,
	}
}
