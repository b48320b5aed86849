package balance

import (
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/pace"
)

// Constants for the time that a backend server is expected to take.
const (
	// minSlowdownSamples is how many response times of a pool are needed before they are used.
	minSlowdownSamples = 32
	// streamGapsWindow is the number of streams whose longest gap between two pieces of the
	// response is remembered, minStreamGapSamples how many of these are needed before they are
	// used.
	streamGapsWindow    = 256
	minStreamGapSamples = 32
	// lateQuantile is the quantile of the response times above which a response counts as late,
	// medianQuantile that of a usual response.
	lateQuantile   = 0.99
	medianQuantile = 0.5
	// timeoutFactor times the late quantile is how long a request waits before it is sent
	// elsewhere. silenceFactor times it is how long a backend server with requests in flight
	// may send nothing before new requests go elsewhere.
	timeoutFactor = 2
	silenceFactor = 4
	// minFirstByteTimeout allows for some round trips and a short stall of a busy server. minSilence
	// and maxSilence bound how long a backend server may send nothing: engines send something with
	// every decoding step, and callers give up within some seconds.
	minFirstByteTimeout = 100 * time.Millisecond
	minSilence          = 500 * time.Millisecond
	maxSilence          = 4 * time.Second
	// longPrefillTime is the prefill time from which a prompt counts as long, so that other
	// routers are informed before the prefill is over. rankLeadTime is how much more prefill
	// work an engine may have than the next one in the rank order of a prompt and still be
	// preferred to it.
	longPrefillTime = 40 * time.Millisecond
	rankLeadTime    = 15 * time.Millisecond
	// remotePrefillTime is the assumed prefill time of a prompt that is prefilled for another
	// router.
	remotePrefillTime = 160 * time.Millisecond
	// An engine's prefill may take baseMargin times the measured base time, which does not depend
	// on the prompt, plus prefillMargin times the measured time for the prompt's tokens, and
	// maxPrefillWait at most.
	baseMargin     = 1.5
	prefillMargin  = 1.2
	maxPrefillWait = 2 * time.Second
)

// poolTimings has the response times measured for a pool.
type poolTimings struct {
	// hasPrompts says that the pool's requests have prompts.
	hasPrompts bool
	prefill    *pace.PrefillEstimator
	// slowdown has the times until responses began, relative to those of an unloaded engine.
	slowdown *pace.SlowdownEstimator
	// streamGaps has the longest gap of each stream that completed, in nanoseconds.
	streamGaps *pace.Window
	// usual has the times until responses began at servers that aren't full.
	usual *pace.SlowdownEstimator
	// sendRate is the rate of this router's requests, if they have no prompts.
	sendRate sendRate
}

// timingsLocked returns the timings of a pool, and creates them if needed.
func (b *Balancer) timingsLocked(pool string) *poolTimings {
	p := b.timings[pool]
	if p == nil {
		p = newPoolTimings()
		b.timings[pool] = p
	}
	return p
}

func newPoolTimings() *poolTimings {
	p := &poolTimings{
		prefill:    pace.NewPrefillEstimator(),
		streamGaps: pace.NewWindow(streamGapsWindow),
	}
	p.slowdown = &pace.SlowdownEstimator{
		UnloadedTime: p.unloadedTime,
	}
	p.usual = &pace.SlowdownEstimator{
		UnloadedTime: p.unloadedTime,
	}
	return p
}

// unloadedTime returns the response time of an engine without other requests. Nothing is known
// of the size of requests to plain services, so all of them count the same.
func (p *poolTimings) unloadedTime(tokens int) time.Duration {
	if !p.hasPrompts {
		return time.Millisecond
	}
	return p.prefill.PrefillTime(tokens)
}

// responseTimeQuantile returns the time within which a fraction of the requests with as many
// tokens to prefill get the start of their response, 0 while too few were measured.
func (p *poolTimings) responseTimeQuantile(quantile float64, tokens int) time.Duration {
	if p.slowdown.Len() < minSlowdownSamples {
		return 0
	}
	return p.slowdown.Quantile(quantile, tokens)
}

// maxPrefillTime returns how long an engine prefills a prompt at most.
func (p *poolTimings) maxPrefillTime(tokens int) time.Duration {
	base := p.prefill.BaseTime()
	wait := baseMargin*float64(base) + prefillMargin*float64(p.prefill.PrefillTime(tokens)-base)
	return min(time.Duration(wait), maxPrefillWait)
}

// maxSilenceFor returns how long a server with that many tokens to prefill may send nothing.
func (p *poolTimings) maxSilenceFor(tokens int) time.Duration {
	limit := silenceFactor * p.responseTimeQuantile(lateQuantile, tokens)
	return min(max(limit, minSilence), maxSilence)
}

// RecordSend notes that the lease's request is about to be sent.
func (b *Balancer) RecordSend(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lease.sentAt, lease.sentUnix = clock.Now(), time.Now().UnixMilli()
}

// RecordResponseTime takes the time until the response to the lease's request began. Call it at
// that moment, and only for a success.
func (b *Balancer) RecordResponseTime(lease *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lease.sentAt.IsZero() || lease.isCold {
		// Response times of cold servers say nothing about the others.
		return
	}
	elapsed, p := clock.Since(lease.sentAt), b.timingsLocked(lease.server.Pool)
	if typical := p.responseTimeQuantile(medianQuantile, lease.tokensToPrefill); typical > 0 {
		lease.isSlow = elapsed > slowFactor*typical
	}
	p.hasPrompts = p.hasPrompts || lease.hasPrompt
	p.slowdown.Record(lease.tokensToPrefill, elapsed)
	b.observeSpeedLocked(lease, elapsed, clock.Now())
	if lease.hasPrompt && lease.FetchFrom == "" {
		p.prefill.Record(lease.tokensToPrefill, elapsed)
	}
}

// FirstByteTimeout returns how long the lease's request should wait for the first byte of its
// response, by the pool's recent response times, or 0 while too few were measured.
func (b *Balancer) FirstByteTimeout(lease *Lease) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := b.slowTimeLocked(lease.server, clock.Now())
	return time.Duration(factor * float64(b.firstByteTimeoutLocked(lease)))
}

func (b *Balancer) firstByteTimeoutLocked(lease *Lease) time.Duration {
	late := b.timingsLocked(lease.server.Pool).responseTimeQuantile(lateQuantile, lease.tokensToPrefill)
	if late == 0 {
		return 0
	}
	return max(timeoutFactor*late, minFirstByteTimeout)
}

// StreamIdleTimeout returns how long to wait for more of a stream that has begun, by the pool's
// recent streams and their longest gaps, or 0 while too few were measured.
func (b *Balancer) StreamIdleTimeout(lease *Lease) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	gaps := b.timingsLocked(lease.server.Pool).streamGaps
	if gaps.Len() < minStreamGapSamples {
		return 0
	}
	return time.Duration(timeoutFactor * gaps.Quantile(lateQuantile))
}

// MaxPrefillTime returns the longest time until the response begins if an engine of the pool
// has to prefill the whole prompt.
func (b *Balancer) MaxPrefillTime(request *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.timingsLocked(request.Pool).maxPrefillTime(request.tokens())
}

// PrefillTime returns how long an engine of the pool prefills the whole prompt, without the base
// time that every request takes.
func (b *Balancer) PrefillTime(request *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	prefill := b.timingsLocked(request.Pool).prefill
	return prefill.PrefillTime(request.tokens()) - prefill.BaseTime()
}

// FirstTokenTime returns how long an unloaded engine of the pool takes to the first token with the
// given number of tokens to prefill, 0 if the pool's requests have no prompts.
func (b *Balancer) FirstTokenTime(pool string, tokens int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.timingsLocked(pool)
	if !p.hasPrompts {
		return 0
	}
	return p.prefill.PrefillTime(tokens)
}

// MedianResponseTime returns the median time until the response begins to a request of the pool
// that has as many unique tokens and its shared parts cached, or 0 while too few were measured.
func (b *Balancer) MedianResponseTime(request *Request) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.timingsLocked(request.Pool).responseTimeQuantile(medianQuantile, request.UniqueTokens)
}
