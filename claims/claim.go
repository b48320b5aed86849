package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// Claim is a key that this router claimed for one request.
type Claim struct {
	key      Key
	claimant uint64
}

// Claim makes the key's claim durable, so that the request may be sent, once.
// Otherwise the error's Outcome says what is known: not-run when nothing was
// claimed, else how the key's earlier request ended.
func (c *Claims) Claim(ctx context.Context, key Key) (Claim, error) {
	claim := Claim{
		key:      key,
		claimant: rand.Uint64(),
	}
	answers := make(chan *peerpb.ClaimAnswer, 1)
	c.mu.Lock()
	c.asks[claim.claimant] = answers
	c.mu.Unlock()
	err := c.ask(ctx, claim, answers)
	c.mu.Lock()
	delete(c.asks, claim.claimant)
	c.mu.Unlock()
	if err == nil {
		c.Stats.Claims.Add(1)
		return claim, nil
	}
	if failure, ok := slipwick.AsError(err); ok && failure.Kind != slipwick.KindKeyUsed {
		// An ask may have been heard. Nothing was sent and nothing will be.
		c.End(claim, slipwick.OutcomeNotRun)
	}
	return Claim{}, err
}

// ask asks the journal's holder until it answers or time is up.
func (c *Claims) ask(ctx context.Context, claim Claim, answers <-chan *peerpb.ClaimAnswer) error {
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
		answer, err := c.wait(ctx, answers)
		if err != nil {
			return err
		}
		switch answer.GetResult() {
		case peerpb.ClaimResult_CLAIM_GRANTED:
			return nil
		case peerpb.ClaimResult_CLAIM_TAKEN:
			return taken(answer.GetState())
		case peerpb.ClaimResult_CLAIM_UNAVAILABLE:
			return unavailable("the platform does not take claims of request keys now")
		case peerpb.ClaimResult_CLAIM_FULL:
			return unavailable("the journal of request keys is full for now")
		default:
			if !sleep(ctx, askAgain) {
				return unavailable("no router holds the journal of this request key yet")
			}
		}
	}
}

// wait gives the next answer; after a while without any it gives one that has
// the holder asked again.
func (c *Claims) wait(ctx context.Context, answers <-chan *peerpb.ClaimAnswer) (*peerpb.ClaimAnswer, error) {
	timer := time.NewTimer(c.Policy.AnswerTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return nil, unavailable("the journal of this request key gave no answer in time")
	case <-timer.C:
		return &peerpb.ClaimAnswer{
			Result: peerpb.ClaimResult_CLAIM_MOVED,
		}, nil
	}
}

// End records how the claim's request ended. An unknown ending leaves the key
// claimed; one that was not run frees it. It is sent once: should it be lost,
// the key stays claimed and its ending unknown.
func (c *Claims) End(claim Claim, outcome slipwick.Outcome) {
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

// send sends to the holder of the claim's journal.
func (c *Claims) send(claim Claim, envelope *peerpb.Envelope) {
	c.mu.Lock()
	holder := c.holder(claim.key.journal(c.Policy.Journals))
	c.mu.Unlock()
	switch holder {
	case "":
	case c.Self:
		c.Receive(c.Self, envelope)
	default:
		c.Link.Send(holder, envelope)
	}
}
