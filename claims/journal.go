package claims

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// journal is one journal as its holder writes it. Its fields belong to the
// goroutine of run.
type journal struct {
	number  int
	policy  *Policy
	store   slipwick.Store
	limiter *rate.Limiter
	// answer sends an answer to the asking router.
	answer func(router string, answer *peerpb.ClaimAnswer)
	// writeBase makes the numbers of writes unique among routers.
	writeBase uint64

	inbox chan work
	// failing says that the platform does not take writes.
	failing atomic.Bool
	stats   *Stats

	writes uint64
	slots  map[uint64]*segment
	open   *segment
	index  index
}

// work is one message to a journal.
type work struct {
	from   string
	claim  *peerpb.ClaimRequest
	ending *peerpb.ClaimEnding
}

// pending is a claim that the next write makes durable.
type pending struct {
	from     string
	claimant uint64
}

// run writes the journal until ctx ends: it takes it over, then adds what
// arrives. Losing it to another writer ends run as well.
func (j *journal) run(ctx context.Context) {
	wait := newBackOff(j.policy)
	for ctx.Err() == nil {
		err := j.takeOver(ctx)
		if err == nil {
			j.setFailing(false)
			wait.Reset()
			err = j.serve(ctx)
		}
		switch {
		case errors.Is(err, errFull):
			j.refuseAll(peerpb.ClaimResult_CLAIM_FULL)
		case slipwick.IsKind(err, slipwick.KindUnavailable):
			j.setFailing(true)
			j.refuseAll(peerpb.ClaimResult_CLAIM_UNAVAILABLE)
		default:
			// The other writer goes on if it is the holder by its view;
			// if this one still is, it tries again a little later.
			j.refuseAll(peerpb.ClaimResult_CLAIM_MOVED)
		}
		sleep(ctx, wait.NextBackOff())
	}
	j.refuseAll(peerpb.ClaimResult_CLAIM_MOVED)
}

// serve adds what arrives, one write at a time: all that arrives meanwhile
// joins the next.
func (j *journal) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-j.inbox:
			if err := j.batch(ctx, first); err != nil {
				return err
			}
		}
	}
}

// batch makes one write of all that waits.
func (j *journal) batch(ctx context.Context, first work) error {
	// The wait for the platform's rate lets more join.
	reservation := j.limiter.Reserve()
	delay := reservation.Delay()
	reservation.Cancel()
	sleep(ctx, delay)
	now := time.Now()
	j.index.forget(now)
	var entries []*claimspb.Entry
	var waiting []pending
	take := func(w work) {
		entry, granted := j.decide(w)
		if entry != nil {
			entries = append(entries, entry)
			j.index.apply(entry)
		}
		if granted {
			waiting = append(waiting, pending{
				from:     w.from,
				claimant: w.claim.GetClaimant(),
			})
		}
	}
	take(first)
	for len(entries) < maxBatch {
		select {
		case next := <-j.inbox:
			take(next)
			continue
		default:
		}
		break
	}
	if len(entries) == 0 {
		return nil
	}
	return j.commit(ctx, entries, waiting)
}

// maxBatch bounds the entries of one write.
const maxBatch = 500

// commit writes the entries and then grants the claims among them.
func (j *journal) commit(ctx context.Context, entries []*claimspb.Entry, waiting []pending) error {
	late := time.AfterFunc(j.policy.WriteTimeout, func() { j.setFailing(true) })
	defer late.Stop()
	err := j.add(ctx, entries)
	result := peerpb.ClaimResult_CLAIM_GRANTED
	switch {
	case errors.Is(err, errFull):
		result = peerpb.ClaimResult_CLAIM_FULL
	case err != nil:
		result = peerpb.ClaimResult_CLAIM_MOVED
	default:
		j.setFailing(false)
	}
	for _, p := range waiting {
		j.reply(p.from, p.claimant, result, 0)
	}
	return err
}

// add writes the entries to the open segment, or to the one after it.
func (j *journal) add(ctx context.Context, entries []*claimspb.Entry) error {
	open := j.open
	if open.content.GetSealed() {
		var err error
		if open, err = j.following(open, j.slots); err != nil {
			return err
		}
	}
	content := open.with(entries, j.nextWrite(), j.policy.SegmentBytes)
	version, err := j.write(ctx, j.slotOf(content), content, open.version)
	if err != nil {
		return err
	}
	j.setOpen(content, version)
	return nil
}

func (j *journal) setOpen(content *claimspb.Segment, version slipwick.Version) {
	j.open = &segment{
		content: content,
		version: version,
	}
	j.slots[j.slotOf(content)] = j.open
}

// decide gives the entry that a message adds, and whether a grant follows its
// write; what needs no write is answered at once.
func (j *journal) decide(w work) (added *claimspb.Entry, granted bool) {
	if w.ending != nil {
		return j.end(w.ending), false
	}
	var key [keyBytes]byte
	copy(key[:], w.claim.GetKey())
	known, ok := j.index[key]
	switch {
	case !ok || known.state == peerpb.ClaimState_CLAIM_FREED:
		return &claimspb.Entry{
			Key:       w.claim.GetKey(),
			Claimant:  w.claim.GetClaimant(),
			ExpiresMs: w.claim.GetExpiresMs(),
		}, true
	case known.claimant == w.claim.GetClaimant() && known.state == peerpb.ClaimState_CLAIM_OPEN:
		// The claim was asked for again; it may be in this very batch, so
		// the answer follows the write.
		return j.again(w.claim), true
	default:
		j.reply(w.from, w.claim.GetClaimant(), peerpb.ClaimResult_CLAIM_TAKEN, known.state)
		return nil, false
	}
}

// again repeats a claim that its claimant asked for once more.
func (j *journal) again(claim *peerpb.ClaimRequest) *claimspb.Entry {
	return &claimspb.Entry{
		Key:       claim.GetKey(),
		Claimant:  claim.GetClaimant(),
		ExpiresMs: claim.GetExpiresMs(),
	}
}

// end gives the entry that records how a claimed request ended; only its own
// claimant may say so.
func (j *journal) end(ending *peerpb.ClaimEnding) *claimspb.Entry {
	var key [keyBytes]byte
	copy(key[:], ending.GetKey())
	known, ok := j.index[key]
	if !ok || known.claimant != ending.GetClaimant() || known.state != peerpb.ClaimState_CLAIM_OPEN {
		return nil
	}
	return &claimspb.Entry{
		Key:       ending.GetKey(),
		Claimant:  ending.GetClaimant(),
		State:     uint32(ending.GetState()),
		ExpiresMs: uint64(known.expires.UnixMilli()),
	}
}

func (j *journal) reply(router string, claimant uint64, result peerpb.ClaimResult, state peerpb.ClaimState) {
	j.answer(router, &peerpb.ClaimAnswer{
		Claimant: claimant,
		Result:   result,
		State:    state,
	})
}

// refuseAll answers all that waits.
func (j *journal) refuseAll(result peerpb.ClaimResult) {
	for {
		select {
		case w := <-j.inbox:
			if w.claim != nil {
				j.reply(w.from, w.claim.GetClaimant(), result, 0)
			}
		default:
			return
		}
	}
}

func (j *journal) nextWrite() uint64 {
	j.writes++
	return j.writeBase + j.writes
}

func (j *journal) setFailing(failing bool) {
	j.failing.Store(failing)
}

func (j *journal) counted(bytes int) {
	j.stats.Writes.Add(1)
	j.stats.Bytes.Add(int64(bytes))
}

func inOrder(slots map[uint64]*segment) []*segment {
	ordered := make([]*segment, 0, len(slots))
	for _, s := range slots {
		ordered = append(ordered, s)
	}
	slices.SortFunc(ordered, func(a, b *segment) int {
		return cmp.Compare(a.content.GetSequence(), b.content.GetSequence())
	})
	return ordered
}
