package quarantine

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// BenchmarkRequest measures what quarantine adds to a request that completes: hashing a body of 24
// KB for its key, and the calls to the ledger while all its records are in use.
func BenchmarkRequest(b *testing.B) {
	l := NewTracker("r")
	for key := range Key(2 * maxRecords) {
		l.Merge([]Crash{{Key: key, Server: 1, Incarnation: 1}})
	}
	backend := &slipwick.Backend{
		ID: "engine",
	}
	body := make([]byte, 24<<10)
	b.ReportAllocs()
	for b.Loop() {
		key := KeyOf("workspace", "POST", "/chat/completions", body)
		if l.Admit(key).Refused {
			b.Fatal("refused")
		}
		run, _ := l.Begin(key, backend, false, func() {})
		run.End(OutcomeCompleted)
	}
}
