package emulation

import (
	"fmt"
	"time"
)

// Report holds the measurements of a run of a World.
type Report struct {
	// Reuse is the share of requests of returning chats whose prefix was cached.
	Reuse float64
	// SkewMax is the highest ratio of an engine's load to the mean at a grant.
	// The load does not count the granted request, and grants count only while
	// the mean is at least 4.
	SkewMax float64
	// Excess is the most requests by which a grant put an engine above
	// LoadFactor times the mean. Values up to 1 are rounding.
	Excess float64
	// SkewSampled and SkewP50 are the highest and the median ratio of the
	// highest load to the mean in regular samples. They rise above the limit
	// while loads fall, because running requests are not stopped.
	SkewSampled, SkewP50 float64
	// CallsPerRequest is the number of slot requests between routers for each
	// request.
	CallsPerRequest float64
	// Control is the control traffic sent and received, in bytes per second, as
	// the mean over routers; ControlMax is that of the busiest router.
	Control, ControlMax float64
	// WaitP99 is the 99th percentile of the time requests waited for a slot.
	WaitP99 time.Duration
	// Refused is the share of requests that were refused.
	Refused float64
	// RefusedInShare is the share of refused requests among those of all workspaces
	// but the last one. In the case burst, these stay within their share of the load,
	// while the last one sends the surges.
	RefusedInShare float64
	// Requests is the number of requests sent.
	Requests int
}

// WarmUp blocks for the warm-up time of the setup and then resets the
// measurements.
func (w *World) WarmUp() {
	w.sleep(w.Setup.WarmUp)
	w.Meter.reset()
	w.Network.reset()
	w.started = time.Now()
}

// Report returns the measurements since the start, or the end of the warm-up.
func (w *World) Report() Report {
	m := w.Meter
	elapsed := time.Since(w.started).Seconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	surging := workspaces[len(workspaces)-1]
	inShare := m.requests - m.requestsByWorkspace[surging]
	r := Report{
		Reuse:           ratio(m.reused, m.returning),
		SkewMax:         m.maxGrantSkew,
		Excess:          m.maxExcess,
		SkewSampled:     m.maxSampledSkew,
		SkewP50:         float64(m.sampledSkews.ValueAtQuantile(50)) / 100,
		CallsPerRequest: ratio(w.Network.SlotRequests(), m.requests),
		WaitP99:         time.Duration(m.slotWaits.ValueAtQuantile(99)) * time.Millisecond,
		Refused:         ratio(m.refused, m.requests),
		RefusedInShare:  ratio(m.refused-m.refusedByWorkspace[surging], inShare),
		Requests:        m.requests,
	}
	traffic := w.Network.Traffic()
	for _, t := range traffic {
		rate := float64(t.Bytes) / elapsed
		r.Control += rate / float64(len(traffic))
		r.ControlMax = max(r.ControlMax, rate)
	}
	return r
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Benchmark returns the report as a line of Go benchmark output. WaitP99 has the
// unit hold-p99-ms there.
func (r Report) Benchmark(name string) string {
	return fmt.Sprintf("%-40s 1 %.3f reuse-ratio %.3f skew-max %.2f excess-requests %.3f skew-sampled-max "+
		"%.2f skew-p50 %.3f calls/request %.0f control-B/s %.0f control-max-B/s %d hold-p99-ms "+
		"%.4f refused-ratio %.4f refused-in-share-ratio %d requests",
		name, r.Reuse, r.SkewMax, r.Excess, r.SkewSampled, r.SkewP50, r.CallsPerRequest, r.Control, r.ControlMax,
		r.WaitP99.Milliseconds(), r.Refused, r.RefusedInShare, r.Requests)
}
