package claims

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
)

// errJournalLost means that another router has written the journal, and so has taken it over.
var errJournalLost = errors.New("another router holds the journal; send the request to that one")

// write replaces the object of a segment if it still has the version. A write without a response is
// retried with the same content and version, so at most one attempt can take effect. A conflict on
// a retry may stem from an earlier attempt whose response was lost, or from another router's write;
// the stored content tells which.
func (j *journal) write(
	ctx context.Context, slot uint64, content *claimspb.Segment, version slipwick.Version,
) (slipwick.Version, error) {
	value, err := proto.Marshal(content)
	if err != nil {
		return 0, errors.Wrap(err, "encode segment")
	}
	wait := newBackOff(j.policy)
	tried := false
	for {
		if err := j.limiter.Wait(ctx); err != nil {
			return 0, err
		}
		written, err := j.put(ctx, slot, value, version)
		switch {
		case err == nil:
			return written, nil
		case slipwick.IsKind(err, slipwick.KindConflict) && !tried:
			return 0, errJournalLost
		case slipwick.IsKind(err, slipwick.KindConflict):
			written, err = j.readBack(ctx, slot, value)
			if err == nil || errors.Is(err, errJournalLost) {
				return written, err
			}
		case !slipwick.IsKind(err, slipwick.KindUnavailable):
			return 0, err
		}
		tried = true
		j.setStoreFailing(true)
		if !sleep(ctx, wait.NextBackOff()) {
			return 0, ctx.Err()
		}
	}
}

func (j *journal) put(
	ctx context.Context, slot uint64, value []byte, version slipwick.Version,
) (slipwick.Version, error) {
	j.countWrite(len(value))
	if version == 0 {
		return j.store.Create(ctx, objectKey(j.number, slot), value)
	}
	return j.store.Update(ctx, objectKey(j.number, slot), value, version)
}

// readBack returns the version that an earlier attempt of the write has made, or errJournalLost
// if the stored content is another.
func (j *journal) readBack(ctx context.Context, slot uint64, value []byte) (slipwick.Version, error) {
	object, err := j.store.Get(ctx, objectKey(j.number, slot))
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(object.Value, value) {
		return 0, errJournalLost
	}
	return object.Version, nil
}

func newBackOff(policy *Policy) *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = policy.FirstRetry
	wait.MaxInterval = policy.MaxRetry
	return wait
}

// sleep reports whether it slept for the whole wait; it returns false as soon as ctx ends.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
