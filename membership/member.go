package membership

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
)

// member is the local record of one box.
type member struct {
	// update is the latest update about the box.
	update *memberpb.News
	// suspectedAt is when this router began to suspect the box; zero if it does not.
	suspectedAt time.Time
	// diedAt is when this router learned of the box's death.
	diedAt time.Time
	// contactedDeadAt is when the box was last contacted while dead, to find out whether it is
	// reachable again.
	contactedDeadAt time.Time
	// penalty is the penalty for flapping as of penaltyAt. It grows by one with each death and decays
	// exponentially.
	penalty   float64
	penaltyAt time.Time
	// digestPart is what the box contributes to the node's digest.
	digestPart uint64
}

// supersedes reports whether a supersedes b, an update on the same box.
func supersedes(a, b *memberpb.News) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetState() > b.GetState()
}

func (m *member) router() slipwick.Router {
	return slipwick.Router{
		ID:         m.update.GetId(),
		Address:    m.update.GetAddress(),
		DataCentre: m.update.GetDataCentre(),
		Region:     m.update.GetRegion(),
	}
}

func (m *member) dead() bool {
	return m.update.GetState() == memberpb.State_STATE_DEAD
}

// mayOwn reports whether the router may own backend servers, because it is neither leaving, dead
// nor flapping.
func (m *member) mayOwn(policy *Policy, now time.Time) bool {
	state := m.update.GetState()
	alive := state == memberpb.State_STATE_LIVE || state == memberpb.State_STATE_SUSPECT
	return alive && m.penaltyNow(policy, now) < policy.FlapLimit
}

// penaltyNow returns the penalty after its decay until now.
func (m *member) penaltyNow(policy *Policy, now time.Time) float64 {
	if m.penalty == 0 {
		return 0
	}
	return m.penalty * math.Exp2(-float64(now.Sub(m.penaltyAt))/float64(policy.FlapHalfLife))
}

func (m *member) addPenalty(policy *Policy, now time.Time) {
	m.penalty = m.penaltyNow(policy, now) + 1
	m.penaltyAt = now
}

// digest returns what the box contributes to the node's digest. A dead router contributes nothing,
// as if unknown, because nodes forget dead routers at different times.
func (m *member) digest() uint64 {
	if m.dead() {
		return 0
	}
	return m.fingerprint()
}

// fingerprint hashes the box's ID, kind, state and incarnation; a suspect counts as live.
func (m *member) fingerprint() uint64 {
	state := m.update.GetState()
	if state == memberpb.State_STATE_SUSPECT {
		state = memberpb.State_STATE_LIVE
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(m.update.GetId())
	_, _ = digest.Write([]byte{byte(state), boolByte(m.update.GetBackend())})
	_, _ = digest.Write(littleEndian(m.update.GetIncarnation()))
	return digest.Sum64()
}
