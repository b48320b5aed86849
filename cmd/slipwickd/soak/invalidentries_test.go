package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// writeInvalidEntries adds an invalid entry of an unknown server to the store, as a faulty writer
// might, and replaces the entry of a running backend server by an invalid one. Both are undone
// after duration, the latter unless that server is leaving or shut down by then.
func writeInvalidEntries(f *fleet, random *rand.Rand, duration time.Duration) {
	invalid := []any{nil, 5, "text", map[string]any{"service": poolEngines}, map[string]any{
		"service": poolPlain, "address": "10.0.0.1", "zone": 7, "slots": -1, "state": "asleep",
	}}
	name := fmt.Sprintf("foreign-%d", random.Uint32())
	f.store.put("servers", name, invalid[random.IntN(len(invalid))])
	b := f.randomBackend(random)
	b.writeInvalid(invalid[random.IntN(len(invalid))])
	time.Sleep(duration)
	if f.isListed(b) {
		b.writeReady()
	}
	f.store.removeServer(name)
}
