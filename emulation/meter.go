package emulation

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Meter counts the requests that are in flight at each engine and records the
// measurements of a Report. It may be used by several goroutines.
type Meter struct {
	mu            sync.Mutex
	loadFactor    float64
	inFlight      map[string]int
	totalInFlight int
	usable        map[string]bool

	requests, refused int
	failedAttempts    int
	grants            map[string]int
	// returning counts the requests of returning chats, reused those of them whose
	// prefix was cached.
	returning, reused int
	// maxExcess is the most requests by which a grant put an engine above its limit.
	// The skew is the ratio of an engine's load to the mean: at a grant that of the
	// engine with the grant, in samples that of the busiest engine.
	maxExcess, maxGrantSkew float64
	maxSampledSkew          float64
	// sampledSkews are in percent, slotWaits in milliseconds.
	sampledSkews, slotWaits *hdrhistogram.Histogram
	refusedByWorkspace      map[string]int
	requestsByWorkspace     map[string]int
	// reportedLoads are the loads by engine that the baseline TwoChoices uses. They
	// are up to a second old, plus reportDelay.
	reportedLoads map[string]int
	reportedAt    time.Time
	reportDelay   time.Duration
}

const (
	histogramDigits = 3
	maxWaitMillis   = 120_000
	maxSkewPercent  = 100_000
	// minMeanLoad is the mean load from which on the skew is recorded. Below it the
	// skew shows only the rounding to whole requests.
	minMeanLoad = 4
)

func newMeter(loadFactor float64) *Meter {
	return &Meter{
		loadFactor:          loadFactor,
		inFlight:            make(map[string]int),
		grants:              make(map[string]int),
		usable:              make(map[string]bool),
		sampledSkews:        hdrhistogram.New(1, maxSkewPercent, histogramDigits),
		slotWaits:           hdrhistogram.New(1, maxWaitMillis, histogramDigits),
		refusedByWorkspace:  make(map[string]int),
		requestsByWorkspace: make(map[string]int),
	}
}

// reset clears the measurements, but not the requests in flight, the grants by
// engine and the failed attempts.
func (m *Meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := newMeter(m.loadFactor)
	m.requests, m.refused, m.returning, m.reused = 0, 0, 0, 0
	m.maxExcess, m.maxGrantSkew, m.maxSampledSkew = 0, 0, 0
	m.sampledSkews, m.slotWaits = fresh.sampledSkews, fresh.slotWaits
	m.refusedByWorkspace, m.requestsByWorkspace = fresh.refusedByWorkspace, fresh.requestsByWorkspace
}

// setUsable records whether an engine can take requests, whatever the routers
// know of it.
func (m *Meter) setUsable(engine string, usable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if usable {
		m.usable[engine] = true
	} else {
		delete(m.usable, engine)
	}
}

// recordGrant records a grant and how long the request waited for it. For a usable
// engine it also records the excess above the load limit and the skew at the grant.
func (m *Meter) recordGrant(engine string, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[engine]++
	m.grants[engine]++
	m.totalInFlight++
	_ = m.slotWaits.RecordValue(max(1, waited.Milliseconds()))
	mean := m.mean()
	if !m.usable[engine] {
		// The router does not know yet that the engine cannot take requests.
		// Such an engine is not part of the mean.
		return
	}
	load := float64(m.inFlight[engine])
	m.maxExcess = max(m.maxExcess, load-m.loadFactor*mean)
	if mean >= minMeanLoad {
		m.maxGrantSkew = max(m.maxGrantSkew, (load-1)/mean)
	}
}

// mean returns the mean load of the usable engines; m.mu is held.
func (m *Meter) mean() float64 {
	total := 0
	for engine := range m.usable {
		total += m.inFlight[engine]
	}
	return float64(total) / float64(max(1, len(m.usable)))
}

func (m *Meter) recordRelease(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[engine]--
	m.totalInFlight--
}

// recordSkew records the current ratio of the busiest engine's load to the mean,
// unless the mean is below minMeanLoad.
func (m *Meter) recordSkew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := m.mean()
	if mean < minMeanLoad {
		return
	}
	busiest := 0
	for engine := range m.usable {
		busiest = max(busiest, m.inFlight[engine])
	}
	skew := float64(busiest) / mean
	m.maxSampledSkew = max(m.maxSampledSkew, skew)
	_ = m.sampledSkews.RecordValue(int64(skew * 100))
}

func (m *Meter) recordArrival(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.requestsByWorkspace[workspace]++
}

func (m *Meter) recordRefusal(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
	m.refusedByWorkspace[workspace]++
}

// recordReturn records a request of a returning chat, and whether the chat's
// prefix was cached.
func (m *Meter) recordReturn(reused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returning++
	if reused {
		m.reused++
	}
}

// InFlight returns the number of requests in flight at all engines.
func (m *Meter) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totalInFlight
}

// reportedLoad returns an engine's load by its last report. Reports are made at
// most once a second, and take reportDelay to arrive.
func (m *Meter) reportedLoad(engine string) int {
	const interval = time.Second
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.reportedAt) >= interval {
		loads := maps.Clone(m.inFlight)
		m.reportedAt = now
		time.AfterFunc(m.reportDelay, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.reportedLoads = loads
		})
	}
	return m.reportedLoads[engine]
}

// SetReportDelay delays the engines' own load reports. Only the baseline
// TwoChoices uses them; owners count slots.
func (m *Meter) SetReportDelay(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportDelay = delay
}

// Grants returns the number of slots granted at an engine since the start.
func (m *Meter) Grants(engine string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.grants[engine]
}

// FailedAttempts returns the number of attempts since the start whose engine
// failed or hung.
func (m *Meter) FailedAttempts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failedAttempts
}

func (m *Meter) recordFailedAttempt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failedAttempts++
}
