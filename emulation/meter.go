package emulation

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Meter knows all engines' true loads and records what is measured.
type Meter struct {
	mu       sync.Mutex
	factor   float64
	inFlight map[string]int
	total    int
	usable   map[string]bool

	requests, refused  int
	broken             int
	grants             map[string]int
	returning, reused  int
	excess, skewGrant  float64
	skewSampled        float64
	skews, holds       *hdrhistogram.Histogram
	refusedByWorkspace map[string]int
	requestsBy         map[string]int
	// reports are the loads as baselines see them: up to a second old.
	reports    map[string]int
	reportedAt time.Time
	reportLag  time.Duration
}

const (
	histogramDigits = 3
	maxHoldMillis   = 120_000
	maxSkewPercent  = 100_000
	// enough is the mean from which on a sampled skew is recorded: below,
	// rounding to whole requests is all there is.
	enough = 4
)

func newMeter(factor float64) *Meter {
	return &Meter{
		factor:             factor,
		inFlight:           make(map[string]int),
		grants:             make(map[string]int),
		usable:             make(map[string]bool),
		skews:              hdrhistogram.New(1, maxSkewPercent, histogramDigits),
		holds:              hdrhistogram.New(1, maxHoldMillis, histogramDigits),
		refusedByWorkspace: make(map[string]int),
		requestsBy:         make(map[string]int),
	}
}

// reset forgets what was recorded, but not what is in flight.
func (m *Meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	fresh := newMeter(m.factor)
	m.requests, m.refused, m.returning, m.reused = 0, 0, 0, 0
	m.excess, m.skewGrant, m.skewSampled = 0, 0, 0
	m.skews, m.holds = fresh.skews, fresh.holds
	m.refusedByWorkspace, m.requestsBy = fresh.refusedByWorkspace, fresh.requestsBy
}

// setUsable says whether an engine may get work, as a matter of fact.
func (m *Meter) setUsable(engine string, usable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if usable {
		m.usable[engine] = true
	} else {
		delete(m.usable, engine)
	}
}

// granted records a grant and how far the engine is above the mean after it.
func (m *Meter) granted(engine string, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[engine]++
	m.grants[engine]++
	m.total++
	_ = m.holds.RecordValue(max(1, waited.Milliseconds()))
	mean := m.mean()
	if !m.usable[engine] {
		// Nobody knows yet that it may not get work; it has no part in the
		// mean.
		return
	}
	load := float64(m.inFlight[engine])
	m.excess = max(m.excess, load-m.factor*mean)
	if mean >= enough {
		m.skewGrant = max(m.skewGrant, (load-1)/mean)
	}
}

// mean is that over the engines that may get work.
func (m *Meter) mean() float64 {
	total := 0
	for engine := range m.usable {
		total += m.inFlight[engine]
	}
	return float64(total) / float64(max(1, len(m.usable)))
}

func (m *Meter) released(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[engine]--
	m.total--
}

// sample records the skew at one moment.
func (m *Meter) sample() {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := m.mean()
	if mean < enough {
		return
	}
	busiest := 0
	for engine := range m.usable {
		busiest = max(busiest, m.inFlight[engine])
	}
	skew := float64(busiest) / mean
	m.skewSampled = max(m.skewSampled, skew)
	_ = m.skews.RecordValue(int64(skew * 100))
}

func (m *Meter) arrived(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	m.requestsBy[workspace]++
}

func (m *Meter) refuse(workspace string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
	m.refusedByWorkspace[workspace]++
}

// turn records whether a returning chat found its prefix.
func (m *Meter) turn(reused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returning++
	if reused {
		m.reused++
	}
}

// Total is the number of requests in flight.
func (m *Meter) Total() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total
}

// reported is an engine's load as reported within the last second.
func (m *Meter) reported(engine string) int {
	const every = time.Second
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.reportedAt) >= every {
		taken := maps.Clone(m.inFlight)
		m.reportedAt = now
		time.AfterFunc(m.reportLag, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.reports = taken
		})
	}
	return m.reports[engine]
}

// SetReportLag makes the engines' own load reports late. Owners count slots
// and do not use them.
func (m *Meter) SetReportLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportLag = lag
}

// Grants is the number of slots granted at an engine since the start.
func (m *Meter) Grants(engine string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.grants[engine]
}

// Broken is the number of requests that their engine took down with it.
func (m *Meter) Broken() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.broken
}

func (m *Meter) broke() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.broken++
}
