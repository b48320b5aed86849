package inbound

import (
	"context"
	"math"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// paceInterval is the time between two updates of a Pacer.
	paceInterval = 20 * time.Millisecond
	// highLateness is the mean lateness of updates from which the rate of reads is lowered, lowLateness the one below
	// which it is raised. maxLateness bounds one update's.
	highLateness   = 6 * time.Millisecond
	lowLateness    = 3 * time.Millisecond
	maxLateness    = time.Second
	latenessWeight = 0.25
	// maxRate is the first rate in reads a second and connection, minRate the lowest. decrease and increase change it in
	// each paceInterval. Each connection may read readBurst times at once. A request counts as another read.
	maxRate   = 512
	minRate   = 4
	decrease  = 0.75
	increase  = 1.02
	readBurst = 32
	// yieldReads is after how many reads a connection lets others run first. A goroutine that never waits for its
	// connection would run for whole time slices of the scheduler.
	yieldReads = 8
	// linesPerRead lines of a head count as another read.
	linesPerRead = 16
	// maxPause bounds the delay of one read.
	maxPause = time.Second
)

// Pacer slows down the connections that read most while the process lacks processor time, so that many small pieces of
// bodies or requests without pause on some connections don't keep the others waiting. The zero value is ready for use.
type Pacer struct {
	// lateness is the mean lateness of updates; only Update uses it.
	lateness time.Duration
	// rate holds the bits of the current rate as a float64; 0 stands for no limit.
	rate atomic.Uint64
}

// Run updates the pacer until ctx ends. A timer that fires late shows that the process gets no processor time.
func (p *Pacer) Run(ctx context.Context) {
	timer := time.NewTimer(paceInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(paceInterval)
		timer.Reset(paceInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		p.Update(time.Since(due))
	}
}

// Update adjusts the rate; lateness is by how much the update came late. It must not be called concurrently.
func (p *Pacer) Update(lateness time.Duration) {
	lateness = min(max(lateness, 0), maxLateness)
	intervals := float64(paceInterval+lateness) / float64(paceInterval)
	p.lateness += time.Duration(min(latenessWeight*intervals, 1) * float64(lateness-p.lateness))
	rate := p.Rate()
	switch {
	case p.lateness > highLateness && rate == 0:
		rate = maxRate
	case p.lateness > highLateness:
		rate = max(rate*math.Pow(decrease, intervals), minRate)
	case p.lateness < lowLateness && rate > 0:
		if rate *= math.Pow(increase, intervals); rate > maxRate {
			rate = 0
		}
	}
	p.rate.Store(math.Float64bits(rate))
}

// Rate returns how many reads a second each connection may make at the moment; 0 stands for no limit.
func (p *Pacer) Rate() float64 {
	if p == nil {
		return 0
	}
	return math.Float64frombits(p.rate.Load())
}

// pace counts the reads of one connection.
type pace struct {
	// used is how many of readBurst reads were made, at the time of at.
	used float64
	at   time.Time
}

// count counts reads at a rate and returns how many exceed readBurst. It lets others run after many.
func (p *pace) count(reads int, rate float64) (excess float64) {
	now := time.Now()
	p.used = max(p.used-rate*now.Sub(p.at).Seconds(), 0) + float64(reads)
	p.at = now
	if p.used > yieldReads {
		runtime.Gosched()
	}
	return p.used - readBurst
}

// pause counts reads and blocks if the connection has made more than its share.
func (p *Pacer) pause(of *pace, reads int) {
	rate := p.Rate()
	isLimited := rate > 0
	if !isLimited {
		rate = maxRate
	}
	excess := of.count(reads, rate)
	if excess <= 0 {
		return
	}
	pause := min(time.Duration(excess/rate*float64(time.Second)), maxPause)
	of.used = readBurst + rate*pause.Seconds()
	if isLimited {
		time.Sleep(pause)
	}
}
