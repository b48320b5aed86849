package quarantine

import (
	"testing"

	"github.com/slipwick/slipwick"
)

// BenchmarkRequest is what a request that ends well costs besides its run: its key, by a
// body of 24 KB, and the ledger's part, with all records in use.
func BenchmarkRequest(b *testing.B) {
	l := NewLedger("r")
	for key := range Key(2 * recordsKept) {
		l.Hear([]Mark{{Key: key, Server: 1, Life: 1}})
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
		run.End(FateSurvived)
	}
}
