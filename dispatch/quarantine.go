package dispatch

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
)

// admit refuses a request under which several backend servers ended. A trial is to show
// whether it still has to be refused.
func (d *Dispatcher) admit(key quarantine.Key) (isTrial bool, err error) {
	if d.Quarantine == nil {
		return false, nil
	}
	admission := d.Quarantine.Admit(key)
	if admission.Refused {
		return false, quarantined(admission.RetryAfter)
	}
	return admission.Trial, nil
}

func quarantined(after time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindQuarantined,
		Message:    "several backend servers ended under this same request; it was not run",
		Remedy:     "look at what the request asks for, and have the backend server mended",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: after,
	}
}

// begin notes a send. A request that was quarantined since it came gives its place back.
func (d *Dispatcher) begin(key quarantine.Key, grant slipwick.Grant, isTrial bool) (*quarantine.Run, error) {
	if d.Quarantine == nil {
		return nil, nil
	}
	run, ok := d.Quarantine.Begin(key, &grant.Backend, isTrial, func() {})
	if !ok {
		d.Admission.Release(grant, slipwick.EvidenceNone)
		return nil, quarantined(d.Quarantine.Admit(key).RetryAfter)
	}
	return run, nil
}

// end tells what became of the backend server. One that had begun to answer did not end
// under the request: what ends a server does so when it begins to run.
func (d *Dispatcher) end(ctx context.Context, run *quarantine.Run, backend slipwick.Backend, seen bool, err error) {
	if run == nil {
		return
	}
	failure, isTyped := slipwick.AsError(err)
	fate := quarantine.FateUnknown
	switch {
	case err == nil:
		fate = quarantine.FateSurvived
	case seen || !isTyped:
	case failure.Outcome == slipwick.OutcomeFailed:
		fate = quarantine.FateSurvived
	case failure.Outcome == slipwick.OutcomeUnknown && ctx.Err() == nil && d.IsGone(ctx, backend):
		fate = quarantine.FateEnded
	}
	run.End(fate)
}

func (d *Dispatcher) isQuarantined(key quarantine.Key) bool {
	return d.Quarantine != nil && d.Quarantine.IsQuarantined(key)
}
