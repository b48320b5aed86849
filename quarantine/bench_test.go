package quarantine

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// BenchmarkRequest measures what quarantine adds to a request that completes: hashing a body of 24
// KB for its key, and the calls to the tracker while all its records are in use.
func BenchmarkRequest(b *testing.B) {
	tracker := NewTracker("r")
	for key := range Key(2 * maxRecords) {
		tracker.Merge([]Crash{{Key: key, ServerIDHash: 1, Incarnation: 1}})
	}
	backend := &slipwick.Backend{
		ID: "engine",
	}
	body := make([]byte, 24<<10)
	b.ReportAllocs()
	for b.Loop() {
		key := KeyOf("workspace", "POST", "/chat/completions", body)
		if tracker.Admit(key).Refused {
			b.Fatal("refused")
		}
		attempt, _ := tracker.Begin(key, backend, false, func() {})
		attempt.End(OutcomeCompleted)
	}
}
