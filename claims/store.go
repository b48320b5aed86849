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

// errLost says that another router writes the journal now.
var errLost = errors.New("another router holds the journal; ask that one")

// write replaces the object of one segment, which has to have the version. A
// write without an answer is tried again with the same content and version: at
// most one of the tries can take effect, and a conflict is told from a lost
// answer by reading the content back.
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
			return 0, errLost
		case slipwick.IsKind(err, slipwick.KindConflict):
			written, err = j.readBack(ctx, slot, value)
			if err == nil || errors.Is(err, errLost) {
				return written, err
			}
		case !slipwick.IsKind(err, slipwick.KindUnavailable):
			return 0, err
		}
		tried = true
		j.setFailing(true)
		if !sleep(ctx, wait.NextBackOff()) {
			return 0, ctx.Err()
		}
	}
}

func (j *journal) put(
	ctx context.Context, slot uint64, value []byte, version slipwick.Version,
) (slipwick.Version, error) {
	j.counted(len(value))
	if version == 0 {
		return j.store.Create(ctx, keyOf(j.number, slot), value)
	}
	return j.store.Update(ctx, keyOf(j.number, slot), value, version)
}

// readBack tells whether an earlier try of the write took effect.
func (j *journal) readBack(ctx context.Context, slot uint64, value []byte) (slipwick.Version, error) {
	object, err := j.store.Get(ctx, keyOf(j.number, slot))
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(object.Value, value) {
		return 0, errLost
	}
	return object.Version, nil
}

func newBackOff(policy *Policy) *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = policy.FirstRetry
	wait.MaxInterval = policy.MaxRetry
	return wait
}

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
