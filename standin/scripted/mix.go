package scripted

import "math/rand/v2"

// Mix is what servers do with the sends of many requests.
type Mix struct {
	// Seed and the ID of a request choose the plans of its sends. Share is the percentage of sends that go by one of
	// the plans; the others are answered as by a sound server.
	Seed  uint64
	Share int
	Plans []Plan
}

// PlanFor returns the plan of a send, which is the same whenever the mix is used.
func (m *Mix) PlanFor(send Send) Plan {
	hash := m.Seed
	for _, b := range []byte(send.RequestID) {
		const prime = 31
		hash = hash*prime + uint64(b)
	}
	random := rand.New(rand.NewPCG(hash, uint64(send.Number)))
	if len(m.Plans) == 0 || random.IntN(100) >= m.Share {
		return Plan{}
	}
	return m.Plans[random.IntN(len(m.Plans))]
}
