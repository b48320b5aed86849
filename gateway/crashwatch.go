package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/quarantine"
)

// crashWindow is how long after the first event of a stream a crash of the backend server still
// counts as caused by the request: a request that crashes a server does so when it begins to run.
// Most requests in progress at an engine have run for longer, so that no check whether their server
// has crashed is needed.
const crashWindow = 500 * time.Millisecond

var errQuarantined = errors.New(
	"the request is quarantined: several backend servers crashed while running it or others with a part of its prompt")

// crashWatch observes one send to find out whether the backend server crashes while it runs the
// request.
type crashWatch struct {
	call    *call
	lease   *balance.Lease
	attempt *quarantine.Attempt
	// ctx is the context of the send; stop cancels it.
	ctx  context.Context
	stop context.CancelCauseFunc
	// firstEvent is when the send forwarded its first event; zero before that. hasProgressed is true
	// once events have arrived for crashWindow.
	firstEvent    time.Time
	hasProgressed bool
}

// checkQuarantine refuses a request that is quarantined, or a part of whose prompt is, unless it is let
// through as a trial.
func (c *call) checkQuarantine() *Refusal {
	if c.gateway.Quarantine == nil {
		return nil
	}
	decision := c.gateway.Quarantine.Admit(c.key, c.promptParts...)
	if decision.Refused {
		return refuseQuarantined(decision.RetryAfter)
	}
	c.isTrial = decision.Trial
	return nil
}

// isQuarantined reports whether the request must not be sent to any further backend server.
func (c *call) isQuarantined() bool {
	return c.gateway.Quarantine != nil && c.gateway.Quarantine.IsQuarantined(c.key, c.promptParts...)
}

// watchForCrash starts observing a send. It returns false if the request has been quarantined since
// its admission.
func (c *call) watchForCrash(lease *balance.Lease) (*crashWatch, bool) {
	w := &crashWatch{
		call:  c,
		lease: lease,
	}
	w.ctx, w.stop = context.WithCancelCause(c.ctx)
	c.watch = w
	if c.gateway.Quarantine == nil {
		return w, true
	}
	stop := func() { w.stop(errQuarantined) }
	attempt, ok := c.gateway.Quarantine.Begin(c.key, &lease.Backend, c.isTrial, stop, c.promptParts...)
	if !ok {
		w.stop(nil)
		return nil, false
	}
	w.attempt = attempt
	return w, true
}

// recordEvent records that events of a stream have arrived.
func (w *crashWatch) recordEvent() {
	switch {
	case w.firstEvent.IsZero():
		w.firstEvent = clock.Now()
		if w.attempt != nil {
			w.attempt.SetBegun()
		}
	case !w.hasProgressed && w.attempt != nil && clock.Since(w.firstEvent) > crashWindow:
		w.hasProgressed = true
		w.attempt.RecordProgress()
	}
}

// wasStopped reports whether the send was cancelled because the request was quarantined.
func (w *crashWatch) wasStopped() bool {
	return errors.Is(context.Cause(w.ctx), errQuarantined)
}

// recordOutcome records whether the backend server crashed. To check costs a round trip, so that
// only those backend servers are checked that broke off an exchange soon after it began.
func (w *crashWatch) recordOutcome(sendResult result, status int, err error) {
	if w.attempt == nil {
		return
	}
	crashOutcome := quarantine.OutcomeInconclusive
	switch {
	case sendResult == resultDelivered && status < http.StatusBadRequest:
		crashOutcome = quarantine.OutcomeCompleted
	case sendResult == resultDelivered || sendResult == resultFailed:
		crashOutcome = quarantine.OutcomeFailed
	case sendResult == resultBroken && w.mayHaveCrashed(err) && w.hasCrashed():
		crashOutcome = quarantine.OutcomeCrashed
	}
	w.attempt.End(crashOutcome)
}

// mayHaveCrashed reports whether the backend server may have crashed because of this request: it
// broke off the exchange no later than crashWindow after the first event.
func (w *crashWatch) mayHaveCrashed(err error) bool {
	if !w.firstEvent.IsZero() && clock.Since(w.firstEvent) > crashWindow {
		return false
	}
	return isConnectionLost(err)
}

// isConnectionLost reports whether the backend server's end of the connection was closed or reset.
func isConnectionLost(err error) bool {
	if typed, ok := slipwick.AsError(err); !ok || typed.Kind != slipwick.KindBackendError {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// hasCrashed reports whether the backend server's process has ended without a planned stop. A
// planned stop also ends the requests that still run there, and none of them is its cause.
func (w *crashWatch) hasCrashed() bool {
	backend := &w.lease.Backend
	return w.call.gateway.Balancer.IsStaying(w.lease) &&
		w.call.gateway.Client.RefusesConnections(w.call.ctx, backend.Incarnation(), backend.Address)
}
