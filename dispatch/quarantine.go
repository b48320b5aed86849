package dispatch

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
)

// checkQuarantine returns an error for a quarantined request: one during which several backend
// servers crashed. isTrial is true for a quarantined request that is admitted nevertheless, to find
// out whether it still crashes them.
func (d *Dispatcher) checkQuarantine(key quarantine.Key) (isTrial bool, err error) {
	if d.Quarantine == nil {
		return false, nil
	}
	decision := d.Quarantine.Admit(key)
	if decision.Refused {
		return false, quarantinedError(decision.RetryAfter)
	}
	return decision.Trial, nil
}

// quarantinedError returns the error of a request that is refused because it is quarantined.
func quarantinedError(retryAfter time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindQuarantined,
		Message:    "several backend servers crashed while running this request; it was not run",
		Remedy:     "look at what the request asks for, and have the backend server fixed",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: retryAfter,
	}
}

// recordAttempt records that the request is about to be sent. It returns nil if Quarantine is nil. If
// the request was quarantined while it waited for the slot, it releases the slot and returns an
// error.
func (d *Dispatcher) recordAttempt(
	key quarantine.Key, grant slipwick.Grant, isTrial bool,
) (*quarantine.Attempt, error) {
	if d.Quarantine == nil {
		return nil, nil
	}
	// The empty stop function lets an attempt continue if its request is quarantined meanwhile.
	attempt, ok := d.Quarantine.Begin(key, &grant.Backend, isTrial, func() {})
	if !ok {
		d.Admission.Release(grant, slipwick.EvidenceNone)
		return nil, quarantinedError(d.Quarantine.Admit(key).RetryAfter)
	}
	return attempt, nil
}

// recordOutcome records whether the attempt completed or crashed the backend server, if either is
// known; it does nothing if attempt is nil. A backend server that had begun to respond did not crash
// because of the request: a request that crashes a backend server does so when it begins to run.
func (d *Dispatcher) recordOutcome(
	ctx context.Context, attempt *quarantine.Attempt, backend slipwick.Backend, delivered bool, err error,
) {
	if attempt == nil {
		return
	}
	failure, isTyped := slipwick.AsError(err)
	outcome := quarantine.OutcomeInconclusive
	switch {
	case err == nil:
		outcome = quarantine.OutcomeCompleted
	case delivered || !isTyped:
	case failure.Outcome == slipwick.OutcomeFailed:
		outcome = quarantine.OutcomeFailed
	case failure.Outcome == slipwick.OutcomeUnknown && ctx.Err() == nil && d.HasCrashed(ctx, backend):
		outcome = quarantine.OutcomeCrashed
	}
	attempt.End(outcome)
}

// isQuarantined reports whether requests with the key are quarantined now.
func (d *Dispatcher) isQuarantined(key quarantine.Key) bool {
	return d.Quarantine != nil && d.Quarantine.IsQuarantined(key)
}
