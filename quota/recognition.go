package quota

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
)

const (
	// maxRecognitionWait and recognitionShare bound how long a request waits for the answer of another router
	// whether its caller returns: a few round trips, and a part of its time to the objective, so that it
	// is still refused within an eighth of it.
	maxRecognitionWait = 20 * time.Millisecond
	recognitionShare   = 1.0 / 16
)

// recognise returns the request, marked as that of a returning caller if another router refused it. Only requests
// that can't be admitted at once are asked about.
func (l *Limiter) recognise(
	ctx context.Context, request *slipwick.PermitRequest, now time.Time,
) *slipwick.PermitRequest {
	if request.Returning {
		l.Returns.Forget(request.Key)
		return request
	}
	wait := maxRecognitionWait
	if !request.Objective.IsZero() {
		wait = min(wait, time.Duration(recognitionShare*float64(request.Objective.Sub(now))))
	}
	if !l.Returns.TakeReturn(ctx, request.Key, wait) {
		return request
	}
	known := *request
	known.Returning = true
	return &known
}

// noteRefusal lets the other routers know of a refused request.
func (l *Limiter) noteRefusal(request *slipwick.PermitRequest, err error) {
	refused, ok := slipwick.AsError(err)
	if ok && l.Returns != nil && request.Key != 0 && !request.Retry {
		l.Returns.NoteRefusal(request.Key, refused.RetryAfter)
	}
}
