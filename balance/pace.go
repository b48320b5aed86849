package balance

import (
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/pace"
)

// The figures of what a backend server is expected to take.
const (
	// slownessLeast requests have to be seen before the times of a pool count.
	minSlownessSamples = 32
	// pausesWindow is how many streams are remembered by their longest pause,
	// pausesLeast how many have to be seen before it counts.
	pausesWindow    = 256
	minPauseSamples = 32
	// lateShare of the requests begin to be answered within the time that one
	// may take; usualShare is the middle.
	lateQuantile   = 0.99
	medianQuantile = 0.5
	// patienceFactor times that is how long a request waits before it goes on
	// elsewhere, silenceFactor times it how long a backend server with requests
	// in flight may say nothing before new ones go elsewhere.
	timeoutFactor = 2
	silenceFactor = 4
	// leastPatience is some round trips and a pause of a busy server;
	// leastSilence and mostSilence bound the silence: engines say something with
	// every step, and callers leave within some seconds.
	minFirstByteTimeout = 100 * time.Millisecond
	minSilence          = 500 * time.Millisecond
	maxSilence          = 4 * time.Second
	// longReadTime of reading makes a prompt long: other routers hear of it
	// before it is over. rankLeadTime of reading is by how much an engine may be
	// behind the next in a prompt's ranks.
	longPrefillTime = 40 * time.Millisecond
	rankLeadTime    = 15 * time.Millisecond
	// toldReadTime of reading is expected of a prompt that is read for another
	// router.
	remotePrefillTime = 160 * time.Millisecond
	// baseMargin and readingMargin times what was learnt is how long a prompt is
	// waited for that an engine reads, mostReadingWait bounds it.
	baseMargin     = 1.5
	prefillMargin  = 1.2
	maxPrefillWait = 2 * time.Second
)

// poolPace is what a pool's requests showed of its pace.
type poolPace struct {
	// isEngines says that the pool's requests have prompts.
	hasPrompts bool
	prefill    *pace.Reading
	// slowness has the times until answers began.
	slowness *pace.Slowness
	// pauses are the longest pauses of streams that came whole, in nanoseconds.
	pauses *pace.Window
}

// paceLocked gives a pool's pace.
func (b *Balancer) paceLocked(pool string) *poolPace {
	p := b.paces[pool]
	if p == nil {
		p = newPoolPace()
		b.paces[pool] = p
	}
	return p
}

func newPoolPace() *poolPace {
	p := &poolPace{
		prefill: pace.NewReading(),
		pauses:  pace.NewWindow(pausesWindow),
	}
	p.slowness = &pace.Slowness{
		Undisturbed: p.unloadedTime,
	}
	return p
}

// undisturbed is what an engine takes alone; plain services have no measure of
// their requests, so that all count alike.
func (p *poolPace) unloadedTime(tokens int) time.Duration {
	if !p.hasPrompts {
		return time.Millisecond
	}
	return p.prefill.Time(tokens)
}

// within is the time in which a share of such requests begin to be answered; 0
// while too little is known.
func (p *poolPace) responseTimeQuantile(share float64, tokens int) time.Duration {
	if p.slowness.Len() < minSlownessSamples {
		return 0
	}
	return p.slowness.Within(share, tokens)
}

// readBy is how long an engine reads a prompt at most.
func (p *poolPace) maxPrefillTime(tokens int) time.Duration {
	base := p.prefill.Base()
	wait := baseMargin*float64(base) + prefillMargin*float64(p.prefill.Time(tokens)-base)
	return min(time.Duration(wait), maxPrefillWait)
}

// silence is how long a server with so much to read may say nothing.
func (p *poolPace) maxSilenceFor(tokens int) time.Duration {
	limit := silenceFactor * p.responseTimeQuantile(lateQuantile, tokens)
	return min(max(limit, minSilence), maxSilence)
}

// Sent notes that the lease's request is about to be sent.
func (b *Balancer) Sent(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.sentAt = clock.Now()
}

// LearnPace takes the time in which the lease's request began to be answered,
// now, with a success.
func (b *Balancer) LearnPace(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lease.sentAt.IsZero() || lease.isCold {
		// What a cold server takes tells nothing of the others.
		return
	}
	elapsed, p := clock.Since(lease.sentAt), b.paceLocked(lease.server.Pool)
	if typical := p.responseTimeQuantile(medianQuantile, lease.promptTokensToPrefill); typical > 0 {
		lease.isSlow = elapsed > slowFactor*typical
	}
	p.hasPrompts = p.hasPrompts || lease.hasPrompt
	p.slowness.Seen(lease.promptTokensToPrefill, elapsed)
	if lease.hasPrompt && lease.FetchFrom == "" {
		p.prefill.Seen(lease.promptTokensToPrefill, elapsed)
	}
}

// Patience is how long the lease's request should wait for the first byte of its
// answer, by what the pool's took lately; 0 while too little is known.
func (b *Balancer) Patience(lease *Lease) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := b.paceLocked(lease.server.Pool).responseTimeQuantile(lateQuantile, lease.promptTokensToPrefill)
	if late == 0 {
		return 0
	}
	return max(timeoutFactor*late, minFirstByteTimeout)
}

// PausePatience is how long a stream of the lease's pool should be waited for that
// has begun and says nothing, by what the pool's paused lately; 0 while too little
// is known.
func (b *Balancer) PausePatience(lease *Lease) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	pauses := b.paceLocked(lease.server.Pool).pauses
	if pauses.Len() < minPauseSamples {
		return 0
	}
	return time.Duration(timeoutFactor * pauses.Quantile(lateQuantile))
}

// ReadTime is how long an engine of the pool takes at most until the answer begins,
// if it has to read the whole prompt.
func (b *Balancer) ReadTime(request *Ask) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paceLocked(request.Pool).maxPrefillTime(request.tokens())
}

// ReadingTime is how long an engine of the pool reads the whole prompt, beside what
// it takes for any request.
func (b *Balancer) ReadingTime(request *Ask) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	reading := b.paceLocked(request.Pool).prefill
	return reading.Time(request.tokens()) - reading.Base()
}

// Usual is how long such a request of the pool usually takes until its answer
// begins; 0 while too little is known.
func (b *Balancer) Usual(request *Ask) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paceLocked(request.Pool).responseTimeQuantile(medianQuantile, request.Own)
}
