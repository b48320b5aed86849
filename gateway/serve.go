package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/upstream"
)

const (
	// extraSends is how often a request may be sent beyond the runs it is
	// allowed, after sends that were certainly not run. mostUnsent bounds those
	// that did not reach a backend server: they cost it nothing and the caller a
	// round trip, and when a third of a pool has just died, two in a thousand
	// requests meet that many dead servers in a row.
	extraSends = 2
	mostUnsent = 6
	// startLeastTime is the time that has to be left for another send, until the
	// pool's own times are known; then a usual answer takes leastFactor times
	// what has to be left.
	startLeastTime = 30 * time.Millisecond
	leastFactor    = 2
)

// serve sends the request until it has an answer or may not be sent again.
func (c *call) serve() {
	c.gateway.Budget.Requested(c.pool)
	defer c.dropNext()
	var last result
	reason, comeBack := "", retrySoon
	for {
		lease, err := c.acquire()
		if err != nil {
			reason, comeBack = "no-backend", comeBackAfter(err)
			break
		}
		if c.awaitReading(lease); lease.Wait > 0 && !c.gateway.Balancer.StillTakes(lease) {
			// It left, or its data centre was evacuated, meanwhile.
			c.gateway.Balancer.Abandon(lease)
			continue
		}
		last = c.send(lease)
		if last == resultQuarantined {
			reason = reasonQuarantined
			break
		}
		if last == resultDelivered || last == resultLeft || last == resultCut {
			c.end(last, "", 0)
			return
		}
		if reason = c.whyNoMore(last); reason != "" {
			break
		}
		if !c.mayRepeat(last) {
			reason = "retry-budget"
			break
		}
	}
	c.giveUp(reason, comeBack)
}

// comeBackAfter is when a request is to come back that no backend server may get.
func comeBackAfter(err error) time.Duration {
	if typed, ok := slipwick.AsError(err); ok && typed.RetryAfter > 0 {
		return typed.RetryAfter
	}
	return retrySoon
}

// mayRepeat asks the fleet's budget for another send. What did not reach a backend
// server is none of its arrivals, and the next send may be the first.
func (c *call) mayRepeat(last result) bool {
	return c.next != nil || last == resultUnsent || c.gateway.Budget.Take(c.pool)
}

// acquire gives the place that was granted while the last send ran, or a new
// one.
func (c *call) acquire() (*balance.Lease, error) {
	if lease := c.next; lease != nil {
		c.next = nil
		return lease, nil
	}
	return c.gateway.Balancer.Acquire(&c.ask)
}

// dropNext gives a place back that is not used: the answer came after all.
func (c *call) dropNext() {
	if c.next != nil {
		c.gateway.Balancer.Abandon(c.next)
		c.next = nil
	}
}

// awaitReading waits while the engine reads the request's prompt for another.
func (c *call) awaitReading(lease *balance.Lease) {
	if lease.Wait <= 0 {
		return
	}
	timer := time.NewTimer(lease.Wait)
	defer timer.Stop()
	select {
	case <-lease.Read:
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// whyNoMore tells why a request is not sent again; empty if it is.
func (c *call) whyNoMore(last result) string {
	clock.Notice()
	switch {
	case c.request.Context().Err() != nil:
		return "left"
	case clock.Until(c.deadline) < c.leastTime():
		return "timeout"
	case !last.isNotRun() && !c.route.MayRepeat():
		return "may-not-repeat"
	case c.runs >= c.route.MaxAttempts && !last.isNotRun():
		return "attempts"
	case c.isQuarantined():
		return reasonQuarantined
	case c.sends-c.unsent >= c.mostSends() || c.unsent >= mostUnsent:
		return "sends"
	}
	return ""
}

// mostSends is how often the request may be sent, runs or not.
func (c *call) mostSends() int {
	return c.route.MaxAttempts + extraSends
}

// leastTime is the time that has to be left for another send.
func (c *call) leastTime() time.Duration {
	if usual := c.gateway.Balancer.Usual(&c.ask); usual > 0 {
		return usual / leastFactor
	}
	return startLeastTime
}

// giveUp gives the final answer to a request that has none.
func (c *call) giveUp(reason string, comeBack time.Duration) {
	switch {
	case c.request.Context().Err() != nil:
		c.end(resultLeft, reason, 0)
	case c.stream.begun:
		c.end(resultCut, reason, 0)
	case c.failure != nil:
		if err := c.failure.write(c.writer); err != nil {
			c.end(resultLeft, reason, 0)
			return
		}
		c.end(resultFailed, reason, c.failure.status)
	case c.runs == 0 && reason == reasonQuarantined:
		c.refuse(refuseQuarantined(c.gateway.Quarantine.Admit(c.key).RetryAfter))
	case c.runs == 0:
		c.refuse(refuseNotRun(reason, comeBack))
	case clock.Now().After(c.deadline):
		c.refuse(refuseTimeout())
	default:
		c.refuse(refuseUnknown(reason))
	}
}

func (c *call) refuse(refusal *Refusal) {
	refusal.write(c.writer)
	c.ended("refused", refusal.Reason, refusal.Status)
}

// end notes the ending. An answer that was cut ends with its connection, so
// that it does not look whole.
func (c *call) end(last result, reason string, status int) {
	c.ended(last.String(), reason, status)
	if last == resultCut {
		panic(http.ErrAbortHandler)
	}
}

func (c *call) ended(outcome, reason string, status int) {
	c.gateway.Observer.Ended(&Ending{
		Request: c.id,
		Key:     c.key,
		Route:   c.route,
		Pool:    c.pool,
		Version: c.table.Version,
		Result:  outcome,
		Reason:  reason,
		Status:  status,
		Sends:   c.sends,
		Events:  c.stream.events,
		Took:    clock.Since(c.arrived),
	})
}

// send sends the request to one backend server and passes the answer on.
func (c *call) send(lease *balance.Lease) result {
	started, events := clock.Now(), c.stream.events
	watch, ok := c.watch(lease)
	if !ok {
		c.gateway.Balancer.Abandon(lease)
		return resultQuarantined
	}
	defer watch.stop(nil)
	c.sends++
	c.ask.Avoid = append(c.ask.Avoid, lease.Backend.ID)
	request := c.upstreamRequest(lease)
	c.gateway.Balancer.Sent(lease)
	answer, err := c.gateway.Client.Do(watch.ctx, lease.Backend.Life(), lease.Backend.Address, request)
	attempt := &Attempt{
		Request: c.id,
		Key:     c.key,
		Route:   c.route.Name,
		Backend: lease.Backend.ID,
		Address: lease.Backend.Address,
		Err:     err,
	}
	var last result
	var evidence slipwick.Evidence
	if err != nil {
		last, evidence = c.judgeError(err)
	} else {
		attempt.Status = answer.Status
		attempt.Notice = c.noticeOf(answer)
		last, evidence, attempt.Err = c.judgeAnswer(lease, answer, attempt.Notice)
		answer.Close()
	}
	if last == resultBroken && watch.wasStopped() {
		// The end of the exchange is this router's doing.
		evidence = slipwick.EvidenceNone
	}
	c.gateway.Balancer.Release(lease, evidence)
	watch.end(last, attempt.Err)
	if !upstream.IsGivenUp(attempt.Err) {
		c.dropNext()
	}
	if last != resultDelivered {
		attempt.Result, attempt.Took = last.String(), clock.Since(started)
		attempt.Events = c.stream.events - events
		c.gateway.Observer.Attempted(attempt)
	}
	return last
}

// judgeError tells what an exchange without an answer means.
func (c *call) judgeError(err error) (result, slipwick.Evidence) {
	if c.request.Context().Err() != nil {
		return resultLeft, slipwick.EvidenceNone
	}
	typed, ok := slipwick.AsError(err)
	if ok && typed.Outcome == slipwick.OutcomeNotRun {
		if c.ctx.Err() != nil {
			return resultNotRun, slipwick.EvidenceNone
		}
		c.unsent++
		if upstream.IsRefused(err) {
			return resultUnsent, slipwick.EvidenceRefused
		}
		return resultUnsent, slipwick.EvidenceUnreachable
	}
	c.runs++
	if c.ctx.Err() == context.DeadlineExceeded || upstream.IsGivenUp(err) {
		// Whoever let it wait too long was told of already.
		return resultBroken, slipwick.EvidenceNone
	}
	return resultBroken, slipwick.EvidenceError
}
