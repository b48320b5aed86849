package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// Claim is a key that this router has claimed for one request.
type Claim struct {
	key Key
	// claimant is a random number that identifies this attempt to claim the key.
	claimant uint64
}

// Claim claims the key durably, so that the request may be sent once. It blocks until the holder of
// the journal has responded, or for WriteTimeout plus AnswerTimeout at most. The Outcome of an
// error is OutcomeNotRun if nothing was claimed, else the outcome of the key's earlier request.
func (c *Claims) Claim(ctx context.Context, key Key) (Claim, error) {
	claim := Claim{
		key:      key,
		claimant: rand.Uint64(),
	}
	answers := make(chan *peerpb.ClaimAnswer, 1)
	c.mu.Lock()
	c.answers[claim.claimant] = answers
	c.mu.Unlock()
	err := c.requestClaim(ctx, claim, answers)
	c.mu.Lock()
	delete(c.answers, claim.claimant)
	c.mu.Unlock()
	if err == nil {
		c.Stats.Claims.Add(1)
		return claim, nil
	}
	if failure, ok := slipwick.AsError(err); ok && failure.Kind != slipwick.KindKeyUsed {
		// The holder may have granted the claim all the same. The caller's request was not sent and
		// will not be, so the claim is released.
		c.RecordOutcome(claim, slipwick.OutcomeNotRun)
	}
	return Claim{}, err
}

// holderRetryDelay is the pause before a claim is sent again after CLAIM_MOVED, or after no answer
// within AnswerTimeout.
const holderRetryDelay = 50 * time.Millisecond

// requestClaim asks the journal's holder until it grants or refuses the claim, or time is up.
func (c *Claims) requestClaim(ctx context.Context, claim Claim, answers <-chan *peerpb.ClaimAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Policy.WriteTimeout+c.Policy.AnswerTimeout)
	defer cancel()
	for {
		c.send(claim, &peerpb.Envelope{
			ClaimRequests: []*peerpb.ClaimRequest{
				{
					Key:       claim.key.hash[:],
					Claimant:  claim.claimant,
					ExpiresMs: uint64(claim.key.expires.UnixMilli()),
				},
			},
		})
		answer, err := c.awaitAnswer(ctx, answers)
		if err != nil {
			return err
		}
		switch answer.GetResult() {
		case peerpb.ClaimResult_CLAIM_GRANTED:
			return nil
		case peerpb.ClaimResult_CLAIM_TAKEN:
			return keyUsedError(answer.GetState())
		case peerpb.ClaimResult_CLAIM_UNAVAILABLE:
			return unavailableError("request keys cannot be claimed now, because the platform does not accept writes")
		case peerpb.ClaimResult_CLAIM_FULL:
			return unavailableError("the journal of this request key is full")
		default:
			if !sleep(ctx, holderRetryDelay) {
				return unavailableError("no router holds the journal of this request key yet")
			}
		}
	}
}

// awaitAnswer returns the next answer. After AnswerTimeout without any it returns CLAIM_MOVED, so
// that the holder is asked again.
func (c *Claims) awaitAnswer(ctx context.Context, answers <-chan *peerpb.ClaimAnswer) (*peerpb.ClaimAnswer, error) {
	timer := time.NewTimer(c.Policy.AnswerTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return nil, unavailableError("the router that holds the journal of this request key did not respond in time")
	case <-timer.C:
		return &peerpb.ClaimAnswer{
			Result: peerpb.ClaimResult_CLAIM_MOVED,
		}, nil
	}
}

// RecordOutcome records the outcome of the claim's request. An unknown outcome leaves the key
// claimed; OutcomeNotRun releases it. The message is sent once: if it is lost, the key stays
// claimed and its outcome unknown.
func (c *Claims) RecordOutcome(claim Claim, outcome slipwick.Outcome) {
	states := map[slipwick.Outcome]peerpb.ClaimState{
		slipwick.OutcomeCompleted: peerpb.ClaimState_CLAIM_COMPLETED,
		slipwick.OutcomeFailed:    peerpb.ClaimState_CLAIM_FAILED,
		slipwick.OutcomeNotRun:    peerpb.ClaimState_CLAIM_FREED,
	}
	state, known := states[outcome]
	if !known {
		return
	}
	c.send(claim, &peerpb.Envelope{
		ClaimEndings: []*peerpb.ClaimEnding{
			{
				Key:      claim.key.hash[:],
				Claimant: claim.claimant,
				State:    state,
			},
		},
	})
}

// send sends an envelope to the holder of the claim's journal.
func (c *Claims) send(claim Claim, envelope *peerpb.Envelope) {
	c.mu.Lock()
	holder := c.holder(claim.key.journal(c.Policy.Journals))
	c.mu.Unlock()
	switch holder {
	case "":
	case c.Self:
		c.Receive(c.Self, envelope)
	default:
		c.Transport.Send(holder, envelope)
	}
}
