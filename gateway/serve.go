package gateway

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/upstream"
)

const (
	// extraSends is how often a request may be sent in addition to the route's MaxAttempts, after
	// sends in which it certainly did not run. maxUnreached bounds the sends that reached no
	// backend server: each costs the backend servers nothing and the caller one round trip, and
	// when a third of a pool has just crashed, two in a thousand requests are sent to that many
	// crashed servers in a row.
	extraSends   = 2
	maxUnreached = 6
	// defaultMinRetryTime is the time that must be left for another send until the balancer knows
	// the median response time of the pool; from then on the median divided by minRetryTimeDivisor
	// must be left.
	defaultMinRetryTime = 30 * time.Millisecond
	minRetryTimeDivisor = 2
)

// serve sends the request until it has a response or must not be sent again.
func (c *call) serve() {
	c.gateway.Budget.CountRequestAt(c.pool, c.countedAt)
	defer c.releasePermits()
	defer c.abandonNextLease()
	var sendResult result
	reason, retryAfter := "", retrySoon
	for {
		lease, err := c.acquireLease()
		if err != nil {
			reason, retryAfter = c.unservedReason(err), retryDelay(err)
			break
		}
		if c.awaitPrefill(lease); lease.Wait > 0 && !c.gateway.Balancer.StillAccepts(lease) {
			c.abandon(lease)
			continue
		}
		sendResult = c.send(lease)
		if sendResult == resultQuarantined {
			reason = reasonQuarantined
			break
		}
		if sendResult == resultDelivered || sendResult == resultDisconnected || sendResult == resultCut {
			c.finish(sendResult, "", 0)
			return
		}
		if reason = c.noRetryReason(sendResult); reason != "" {
			break
		}
		if after, ok := c.mayResend(); !ok {
			reason, retryAfter = c.overloadReason(), after
			break
		}
		if !c.takeRetryBudget(sendResult) {
			reason = "retry-budget"
			break
		}
	}
	c.finishUndelivered(reason, retryAfter)
}

// errNotAccepting is the error of a request that is not sent because since the choice of its backend server, that
// server was removed from the pool, announced that it is leaving, asked for a pause or became cold, or its data centre
// was evacuated.
var errNotAccepting = errors.New("the backend server accepts no new requests any more")

// retryDelay returns after what time the caller may retry a request for which no backend server was
// available.
func retryDelay(err error) time.Duration {
	if typed, ok := slipwick.AsError(err); ok && typed.RetryAfter > 0 {
		return typed.RetryAfter
	}
	return retrySoon
}

// mayResend reports whether the request may be sent to another server if a full one has just rejected it. If not,
// retryAfter is the Retry-After for its caller.
func (c *call) mayResend() (retryAfter time.Duration, ok bool) {
	if !c.wasRejected || c.nextLease != nil {
		return 0, true
	}
	return c.gateway.Balancer.MayResend(&c.selection, c.sends-c.unreached)
}

// takeRetryBudget takes another send from the fleet's retry budget and reports whether it may be
// made. If nextLease is set, the budget was taken together with that lease. A send that reached no
// backend server added no load, so that the next one costs no budget; one that a full server rejected
// did.
func (c *call) takeRetryBudget(sendResult result) bool {
	return c.nextLease != nil || sendResult == resultUnsent || c.gateway.Budget.Take(c.pool)
}

// acquireLease returns the lease that was acquired during the last send, or a new one. With a permit
// source, the lease comes with a permit, for which the request may have to wait.
func (c *call) acquireLease() (*balance.Lease, error) {
	if lease := c.takeNextLease(); lease != nil {
		c.permit, c.nextPermit = c.nextPermit, heldPermit{}
		return lease, nil
	}
	if !c.gateway.usesPermits() {
		return c.gateway.Balancer.Acquire(&c.selection)
	}
	asked := clock.Now()
	ctx := c.ctx
	if c.permitCtx != nil && c.possibleRuns == 0 {
		ctx = c.permitCtx
	}
	lease, permit, err := c.acquireWithPermit(ctx, c.selection, c.possibleRuns > 0)
	if took := clock.Since(asked); took >= minCountedWait {
		c.waited += took
	}
	c.permit = permit
	return lease, err
}

// abandon gives back the current lease, and its permit, for which no request was sent.
func (c *call) abandon(lease *balance.Lease) {
	c.gateway.Balancer.Abandon(lease)
	c.permit.release(slipwick.EvidenceNone)
}

// abandonNextLease gives back the lease of a retry that is not needed, because the response came
// after all or the request has ended.
func (c *call) abandonNextLease() {
	if c.nextLease != nil {
		c.gateway.Balancer.Abandon(c.nextLease)
		c.nextPermit.release(slipwick.EvidenceNone)
		c.nextLease = nil
	}
}

// awaitPrefill waits while the engine prefills the same prompt for another request, so that it is
// prefilled once.
func (c *call) awaitPrefill(lease *balance.Lease) {
	if lease.Wait <= 0 {
		return
	}
	timer := time.NewTimer(lease.Wait)
	defer timer.Stop()
	select {
	case <-lease.PrefillDone:
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// noRetryReason returns why the request must not be sent again after a send with this result, or
// the empty string if it may.
func (c *call) noRetryReason(sendResult result) string {
	clock.DetectSuspension()
	switch {
	case c.request.Context().Err() != nil:
		return "left"
	case c.isWithdrawn():
		return reasonStopping
	case c.hasNoPath:
		return reasonNoPath
	case c.timeLeft() < c.minRetryTime():
		return "timeout"
	case !sendResult.isNotRun() && !c.route.MayRepeat():
		return "may-not-repeat"
	case c.possibleRuns >= c.route.MaxAttempts && !sendResult.isNotRun():
		return "attempts"
	case c.isQuarantined() && (!c.isTrial || !sendResult.isNotRun()):
		// A trial ends with the first send after which the request may have run.
		return reasonQuarantined
	case c.sends-c.unreached >= c.maxSends() || c.unreached >= maxUnreached:
		return "sends"
	}
	return ""
}

// maxSends is how often the request may be sent to backend servers that are reached, whether it
// runs there or not.
func (c *call) maxSends() int {
	return c.route.MaxAttempts + extraSends
}

// minRetryTime returns how much time must be left for another send.
func (c *call) minRetryTime() time.Duration {
	if median := c.gateway.Balancer.MedianResponseTime(&c.selection); median > 0 {
		return median / minRetryTimeDivisor
	}
	return defaultMinRetryTime
}

// finishUndelivered ends a request of which no send delivered a complete response. It writes the
// latest failure response of a backend server, or else a refusal, if the caller is still connected
// and has received no part of a response.
func (c *call) finishUndelivered(reason string, retryAfter time.Duration) {
	switch {
	case c.request.Context().Err() != nil:
		c.finish(resultDisconnected, reason, 0)
	case c.progress.headWritten:
		c.finish(resultCut, reason, 0)
	case c.failedResponse != nil:
		c.beginResponse()
		if err := c.failedResponse.write(c.writer); err != nil {
			c.finish(resultDisconnected, reason, 0)
			return
		}
		c.finish(resultFailed, reason, c.failedResponse.status)
	case c.possibleRuns == 0 && reason == reasonQuarantined:
		c.refuse(refuseQuarantined(c.gateway.Quarantine.Admit(c.key, c.promptParts...).RetryAfter))
	case c.possibleRuns == 0 && reason == reasonStopping:
		c.refuse(refuseStopping())
	case c.possibleRuns == 0 && reason == ReasonOverloaded:
		c.gateway.refused.add(c.key, retryAfter)
		c.refuse(refuseOverloaded(retryAfter))
	case c.possibleRuns == 0:
		c.refuse(refuseNotRun(reason, retryAfter))
	case clock.Now().After(c.deadline):
		c.refuse(refuseTimeout())
	default:
		c.refuse(refuseUnknownOutcome(reason))
	}
}

func (c *call) refuse(refusal *Refusal) {
	c.beginResponse()
	refusal.write(c.writer)
	c.retryAfter = max(refusal.RetryAfter, 0)
	c.notifyEnded("refused", refusal.Reason, refusal.Status)
}

// finish reports the end of the request to the observer. A response that was cut also has to close
// its connection, so that the caller does not take it for complete. So has the end of a request whose
// caller has disconnected: the server would write an empty 200, which a caller that has closed only its
// sending side receives.
func (c *call) finish(sendResult result, reason string, status int) {
	c.notifyEnded(sendResult.String(), reason, status)
	if sendResult == resultCut || sendResult == resultDisconnected {
		panic(http.ErrAbortHandler)
	}
	c.endUnframed()
}

func (c *call) notifyEnded(resultName, reason string, status int) {
	c.gateway.Observer.Ended(&RequestSummary{
		RequestID:    c.id,
		Key:          c.key,
		Route:        c.route,
		Pool:         c.pool,
		Workspace:    c.workspaceName(),
		Priority:     c.priority(),
		Version:      c.table.Version,
		Result:       resultName,
		Reason:       reason,
		Status:       status,
		RetryAfter:   c.retryAfter,
		Waited:       c.waited,
		Sends:        c.sends,
		Unsent:       c.unreached,
		PossibleRuns: c.possibleRuns,
		Events:       c.progress.events,
		Duration:     clock.Since(c.arrived),
	})
}

// send sends the request to one backend server and forwards the response.
func (c *call) send(lease *balance.Lease) result {
	started, events := clock.Now(), c.progress.events
	watch, ok := c.watchForCrash(lease)
	if !ok {
		c.abandon(lease)
		return resultQuarantined
	}
	defer watch.stop(nil)
	c.sends++
	c.selection.Exclude = append(c.selection.Exclude, lease.Backend.ID)
	request := c.upstreamRequest(lease)
	c.gateway.Balancer.RecordSend(lease)
	c.responseStart, c.overdue, c.restBytes, c.eventsBegun = time.Time{}, false, 0, false
	sentAt := clock.Now()
	var response *upstream.Response
	var err error
	released := false
	defer func() {
		if !released {
			c.releaseAfterPanic(lease, watch, response)
		}
	}()
	response, err = c.gateway.Client.Do(watch.ctx, lease.Backend.Incarnation(), lease.Backend.Address, request)
	attempt := c.newFailedAttempt(lease, err)
	var sendResult result
	var evidence slipwick.Evidence
	if err != nil {
		sendResult, evidence = c.classifyError(err)
	} else {
		c.responseStart = clock.Now()
		attempt.Status, attempt.Framing = response.Status, response.Framing
		attempt.Use, attempt.IsNamed = response.Use, c.isNamedBy(response)
		attempt.Notice = c.noticeOf(response)
		sendResult, evidence, attempt.Err = c.handleResponse(lease, response, attempt.Notice)
		response.Close()
		c.reportRead(lease, response, c.progress.events-events)
	}
	if sendResult == resultBroken && (watch.wasStopped() || upstream.IsRouteLost(attempt.Err)) {
		// This router or its network path ended the exchange, which says nothing about the backend server.
		evidence = slipwick.EvidenceNone
	}
	c.gateway.Balancer.Release(lease, evidence)
	released = true
	c.wasRejected = evidence == slipwick.EvidenceShed
	c.noteRejection(sendResult, evidence)
	c.permit.release(c.permitEvidence(sendResult, evidence))
	watch.recordOutcome(sendResult, attempt.Status, attempt.Err)
	if !upstream.IsResponseTimeout(attempt.Err) {
		c.abandonNextLease()
	}
	c.recordWork(lease, sentAt, sendResult)
	if sendResult != resultDelivered {
		attempt.Result, attempt.Duration = sendResult.String(), clock.Since(started)
		attempt.Events = c.progress.events - events
		c.gateway.Observer.AttemptFailed(attempt)
	}
	return sendResult
}

// newFailedAttempt describes a send in case that it does not deliver the response.
func (c *call) newFailedAttempt(lease *balance.Lease, err error) *FailedAttempt {
	return &FailedAttempt{
		RequestID:   c.id,
		Key:         c.key,
		PromptParts: c.promptParts,
		Route:       c.route.Name,
		Pool:        c.pool,
		Backend:     lease.Backend.ID,
		Address:     lease.Backend.Address,
		Version:     lease.Version,
		Err:         err,
	}
}

// reportRead reports a response that was read to its end to the observer.
func (c *call) reportRead(lease *balance.Lease, response *upstream.Response, events int) {
	if !response.Complete() {
		return
	}
	c.gateway.Observer.ResponseRead(&ReadResponse{
		RequestID:  c.id,
		Backend:    lease.Backend.ID,
		Status:     response.Status,
		Framing:    response.Framing,
		Events:     events,
		RestBytes:  c.restBytes,
		RequestErr: response.RequestError(),
	})
}

// releaseAfterPanic ends what belongs to a send that panicked, as in a write to the caller: the HTTP server
// recovers, and the request would count as in flight for good.
func (c *call) releaseAfterPanic(lease *balance.Lease, watch *crashWatch, response *upstream.Response) {
	if response != nil {
		response.Close()
	}
	c.gateway.Balancer.Release(lease, slipwick.EvidenceNone)
	watch.recordOutcome(resultDisconnected, 0, nil)
}

// classifyError returns the result of an exchange without a response, and what it says about the
// backend server.
func (c *call) classifyError(err error) (result, slipwick.Evidence) {
	if c.request.Context().Err() != nil {
		return resultDisconnected, slipwick.EvidenceNone
	}
	typed, ok := slipwick.AsError(err)
	if ok && typed.Outcome == slipwick.OutcomeNotRun {
		if c.ctx.Err() != nil {
			return resultNotRun, slipwick.EvidenceNone
		}
		c.unreached++
		if errors.Is(err, errStopping) || errors.Is(err, errNotAccepting) {
			return resultUnsent, slipwick.EvidenceNone
		}
		if limited, stalled := upstream.IsUnreadLimit(err); limited {
			return resultUnsent, evidenceOfUnreadBodies(stalled)
		}
		switch {
		case typed.Kind == slipwick.KindNoPath:
			c.hasNoPath = true
			return resultUnsent, slipwick.EvidenceNone
		case upstream.IsConnectionLimit(err):
			return resultUnsent, slipwick.EvidenceNone
		case upstream.IsConnectionRefused(err):
			return resultUnsent, slipwick.EvidenceRefused
		default:
			return resultUnsent, slipwick.EvidenceUnreachable
		}
	}
	c.possibleRuns++
	if status, ok := upstream.UnnamedStatus(err); ok && impliesNotRun(status) {
		return resultBroken, evidenceOfRejection(status)
	}
	if c.ctx.Err() != nil || upstream.IsResponseTimeout(err) {
		// If the response was overdue, timeoutHandler.onTimeout has already reported that to the
		// balancer.
		return resultBroken, slipwick.EvidenceNone
	}
	return resultBroken, slipwick.EvidenceError
}
