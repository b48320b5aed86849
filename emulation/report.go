package emulation

import (
	"fmt"
	"time"
)

// Report is what a run of a World measured.
type Report struct {
	// Reuse is the share of returning chats that found their prefix.
	Reuse float64
	// SkewMax is the highest load over the mean at a grant, less the one
	// request granted, while the mean is at least 4.
	SkewMax float64
	// Excess is how many requests, at most, a grant put an engine above the
	// limit's exact multiple of the mean; up to 1 is rounding.
	Excess float64
	// SkewSampled is the highest load over the mean at any moment, which
	// rises above the limit while loads fall, as nothing running is cut.
	SkewSampled, SkewP50 float64
	CallsPerRequest      float64
	// Control is bytes a second sent and received, as the mean over routers,
	// and ControlMax that of the busiest.
	Control, ControlMax float64
	HoldP99             time.Duration
	Refused             float64
	// RefusedInShare is the same for workspaces that did not surge.
	RefusedInShare float64
	Requests       int
}

// WarmUp runs the fleet and then forgets what was measured.
func (w *World) WarmUp() {
	w.pause(w.Setup.WarmUp)
	w.Meter.reset()
	w.Network.reset()
	w.started = time.Now()
}

// Report gives what was measured since the start, or the end of the warm-up.
func (w *World) Report() Report {
	m := w.Meter
	elapsed := time.Since(w.started).Seconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	surging := workspaces[len(workspaces)-1]
	inShare := m.requests - m.requestsBy[surging]
	r := Report{
		Reuse:           ratio(m.reused, m.returning),
		SkewMax:         m.skewGrant,
		Excess:          m.excess,
		SkewSampled:     m.skewSampled,
		SkewP50:         float64(m.skews.ValueAtQuantile(50)) / 100,
		CallsPerRequest: ratio(w.Network.SlotRequests(), m.requests),
		HoldP99:         time.Duration(m.holds.ValueAtQuantile(99)) * time.Millisecond,
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

// Benchmark writes the report as a line of a benchmark's output.
func (r Report) Benchmark(name string) string {
	return fmt.Sprintf("%-40s 1 %.3f reuse-ratio %.3f skew-max %.2f excess-requests %.3f skew-sampled-max "+
		"%.2f skew-p50 %.3f calls/request %.0f control-B/s %.0f control-max-B/s %d hold-p99-ms "+
		"%.4f refused-ratio %.4f refused-in-share-ratio %d requests",
		name, r.Reuse, r.SkewMax, r.Excess, r.SkewSampled, r.SkewP50, r.CallsPerRequest, r.Control, r.ControlMax,
		r.HoldP99.Milliseconds(), r.Refused, r.RefusedInShare, r.Requests)
}
