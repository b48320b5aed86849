package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// journal is a journal that this router holds. Its fields belong to the goroutine of run, except
// inbox and storeFailing.
type journal struct {
	number  int
	policy  *Policy
	store   slipwick.Store
	limiter *rate.Limiter
	// answer sends an answer to the router that sent the request.
	answer func(router string, answer *peerpb.ClaimAnswer)
	// writeBase is a random offset that makes write numbers unique among routers.
	writeBase uint64

	inbox chan message
	// storeFailing is set while the platform does not accept writes.
	storeFailing atomic.Bool
	stats        *Stats

	// writes counts the writes without their retries; writeBase plus the count is the number of the
	// last one.
	writes uint64
	// slots holds the journal's segments by slot; open is the latest one, which may be sealed.
	slots map[uint64]*segment
	open  *segment
	index index
}

// message is a claim request for a journal, or the ending of a claim: its request's outcome.
type message struct {
	from   string
	claim  *peerpb.ClaimRequest
	ending *peerpb.ClaimEnding
}

// pendingClaim is a claim that is granted once the next write is durable.
type pendingClaim struct {
	from     string
	claimant uint64
}

// run takes the journal over and writes what arrives, until ctx ends. When another router takes the
// journal over, run tries to take it back after a pause.
func (j *journal) run(ctx context.Context) {
	wait := newBackOff(j.policy)
	for ctx.Err() == nil {
		err := j.takeOver(ctx)
		if err == nil {
			j.setStoreFailing(false)
			wait.Reset()
			err = j.serve(ctx)
		}
		switch {
		case errors.Is(err, errJournalFull):
			j.rejectAll(peerpb.ClaimResult_CLAIM_FULL)
		case slipwick.IsKind(err, slipwick.KindUnavailable):
			j.setStoreFailing(true)
			j.rejectAll(peerpb.ClaimResult_CLAIM_UNAVAILABLE)
		default:
			// The other writer continues if it is the holder in its view of the fleet; if this
			// router still is, it takes the journal over again after the pause.
			j.rejectAll(peerpb.ClaimResult_CLAIM_MOVED)
		}
		sleep(ctx, wait.NextBackOff())
	}
	j.rejectAll(peerpb.ClaimResult_CLAIM_MOVED)
}

// serve writes what arrives, one write at a time: all messages that arrive meanwhile go into the
// next one.
func (j *journal) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-j.inbox:
			if err := j.writeBatch(ctx, first); err != nil {
				return err
			}
		}
	}
}

// writeBatch writes all queued messages at once, up to maxBatch entries.
func (j *journal) writeBatch(ctx context.Context, first message) error {
	// The wait for the rate limit lets more messages join the batch.
	reservation := j.limiter.Reserve()
	delay := reservation.Delay()
	reservation.Cancel()
	sleep(ctx, delay)
	now := time.Now()
	j.index.removeExpired(now)
	var entries []*claimspb.Entry
	var waiting []pendingClaim
	take := func(m message) {
		entry, granted := j.process(m)
		if entry != nil {
			entries = append(entries, entry)
			j.index.apply(entry)
		}
		if granted {
			waiting = append(waiting, pendingClaim{
				from:     m.from,
				claimant: m.claim.GetClaimant(),
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

// commit writes the entries and then answers the claims among them.
func (j *journal) commit(ctx context.Context, entries []*claimspb.Entry, waiting []pendingClaim) error {
	late := time.AfterFunc(j.policy.WriteTimeout, func() { j.setStoreFailing(true) })
	defer late.Stop()
	err := j.add(ctx, entries)
	result := peerpb.ClaimResult_CLAIM_GRANTED
	switch {
	case errors.Is(err, errJournalFull):
		result = peerpb.ClaimResult_CLAIM_FULL
	case err != nil:
		result = peerpb.ClaimResult_CLAIM_MOVED
	default:
		j.setStoreFailing(false)
	}
	for _, p := range waiting {
		j.sendAnswer(p.from, p.claimant, result, 0)
	}
	return err
}

// add writes the entries to the latest segment, or to a new one if that is sealed.
func (j *journal) add(ctx context.Context, entries []*claimspb.Entry) error {
	open := j.open
	if open.content.GetSealed() {
		var err error
		if open, err = j.nextSegment(open, j.slots); err != nil {
			return err
		}
	}
	content := open.withEntries(entries, j.nextWrite(), j.policy.SegmentBytes)
	version, err := j.write(ctx, j.slotOf(content), content, open.version)
	if err != nil {
		return err
	}
	j.setOpen(content, version)
	return nil
}

// setOpen stores the content and version of the latest segment after a write.
func (j *journal) setOpen(content *claimspb.Segment, version slipwick.Version) {
	j.open = &segment{
		content: content,
		version: version,
	}
	j.slots[j.slotOf(content)] = j.open
}

// process returns the entry that a message adds, nil if none, and whether its claim is granted
// after the write. Messages that need no write are answered at once.
func (j *journal) process(m message) (added *claimspb.Entry, granted bool) {
	if m.ending != nil {
		return j.endingEntry(m.ending), false
	}
	var key [keyBytes]byte
	copy(key[:], m.claim.GetKey())
	known, ok := j.index[key]
	switch {
	case !ok || known.state == peerpb.ClaimState_CLAIM_FREED:
		return &claimspb.Entry{
			Key:       m.claim.GetKey(),
			Claimant:  m.claim.GetClaimant(),
			ExpiresMs: m.claim.GetExpiresMs(),
		}, true
	case known.claimant == m.claim.GetClaimant() && known.state == peerpb.ClaimState_CLAIM_OPEN:
		// The request was repeated. Its claim may be in this same batch, so the answer has to
		// follow the write.
		return j.repeatedEntry(m.claim), true
	default:
		j.sendAnswer(m.from, m.claim.GetClaimant(), peerpb.ClaimResult_CLAIM_TAKEN, known.state)
		return nil, false
	}
}

// repeatedEntry returns the entry of a claim that its claimant has requested again.
func (j *journal) repeatedEntry(claim *peerpb.ClaimRequest) *claimspb.Entry {
	return &claimspb.Entry{
		Key:       claim.GetKey(),
		Claimant:  claim.GetClaimant(),
		ExpiresMs: claim.GetExpiresMs(),
	}
}

// endingEntry returns the entry for the outcome of a claimed request, or nil if the key has no open
// claim of the message's claimant.
func (j *journal) endingEntry(ending *peerpb.ClaimEnding) *claimspb.Entry {
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

func (j *journal) sendAnswer(router string, claimant uint64, result peerpb.ClaimResult, state peerpb.ClaimState) {
	j.answer(router, &peerpb.ClaimAnswer{
		Claimant: claimant,
		Result:   result,
		State:    state,
	})
}

// rejectAll answers all queued claim requests with the result.
func (j *journal) rejectAll(result peerpb.ClaimResult) {
	for {
		select {
		case m := <-j.inbox:
			if m.claim != nil {
				j.sendAnswer(m.from, m.claim.GetClaimant(), result, 0)
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

func (j *journal) setStoreFailing(failing bool) {
	j.storeFailing.Store(failing)
}

func (j *journal) countWrite(bytes int) {
	j.stats.Writes.Add(1)
	j.stats.Bytes.Add(int64(bytes))
}
