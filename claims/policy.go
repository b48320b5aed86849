package claims

import "time"

// Policy holds the figures of claims; all routers of a fleet need the same.
type Policy struct {
	// Journals is how many journals share the keys.
	Journals int
	// WritesPerSecond bounds the writes to the platform of all journals
	// together.
	WritesPerSecond float64
	// SegmentBytes is the size from which on a segment is sealed. Each write
	// sends the open segment whole.
	SegmentBytes int
	// Segments bounds a journal; they are used again after expiry.
	Segments int
	// Window is how long a key is good, from the time in it.
	Window time.Duration
	// Skew is how far the clocks of callers and routers may be apart.
	Skew time.Duration
	// AnswerTimeout is the wait for a holder before it is asked again.
	AnswerTimeout time.Duration
	// WriteTimeout bounds how long claims wait for the platform, with all
	// tries of one write; then they are refused.
	WriteTimeout time.Duration
	// FirstRetry and MaxRetry bound the wait between tries of a write.
	FirstRetry, MaxRetry time.Duration
}

// DefaultPolicy gives the figures in use.
func DefaultPolicy() Policy {
	const journals, writesPerSecond, segments = 8, 40, 1024
	return Policy{
		Journals:        journals,
		WritesPerSecond: writesPerSecond,
		SegmentBytes:    4 << 10,
		Segments:        segments,
		Window:          10 * time.Minute,
		Skew:            5 * time.Second,
		AnswerTimeout:   500 * time.Millisecond,
		WriteTimeout:    2 * time.Second,
		FirstRetry:      50 * time.Millisecond,
		MaxRetry:        5 * time.Second,
	}
}
