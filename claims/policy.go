package claims

import "time"

// Policy holds the parameters of claims. All routers of a fleet must have the same ones.
type Policy struct {
	// Journals is the number of journals that the keys are distributed over.
	Journals int
	// WritesPerSecond bounds the writes to the platform, of all journals together.
	WritesPerSecond float64
	// SegmentBytes is the size above which a segment is sealed. Each write sends the whole open
	// segment.
	SegmentBytes int
	// MaxSegments bounds the segments of a journal; expired ones are reused.
	MaxSegments int
	// KeyLifetime is how long a key is valid, from the time in it.
	KeyLifetime time.Duration
	// MaxClockSkew is how far a caller's clock and a router's may differ.
	MaxClockSkew time.Duration
	// AnswerTimeout is how long to wait for a holder before it is asked again.
	AnswerTimeout time.Duration
	// WriteTimeout bounds how long claims wait for the platform, including retries of a write;
	// after that they are refused.
	WriteTimeout time.Duration
	// FirstRetry and MaxRetry bound the pause between attempts of a write.
	FirstRetry, MaxRetry time.Duration
}

// DefaultPolicy returns the default parameters.
func DefaultPolicy() Policy {
	const journals, writesPerSecond, segments = 8, 40, 1024
	return Policy{
		Journals:        journals,
		WritesPerSecond: writesPerSecond,
		SegmentBytes:    4 << 10,
		MaxSegments:     segments,
		KeyLifetime:     10 * time.Minute,
		MaxClockSkew:    5 * time.Second,
		AnswerTimeout:   500 * time.Millisecond,
		WriteTimeout:    2 * time.Second,
		FirstRetry:      50 * time.Millisecond,
		MaxRetry:        5 * time.Second,
	}
}
