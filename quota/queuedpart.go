package quota

// queuedPart counts the requests of the most urgent priority that wait, in the fleet and at this router. Free
// slots go to them first. If they were divided by demand alone, which contains recent refusals, requests would
// wait at some routers after a fall of the demand while slots are free at others. Requests of lower priorities
// don't count: they wait at all routers in an overload, and would draw slots from the urgent ones.
type queuedPart struct {
	fleet, own float64
}

func newQueuedPart(fleet, own []Entry) queuedPart {
	q := queuedPart{
		fleet: float64(queuedIn(fleet)),
		own:   float64(queuedIn(own)),
	}
	q.own = min(q.own, q.fleet)
	return q
}

func queuedIn(entries []Entry) int {
	sum := 0
	for i := range entries {
		sum += entries[i].Queued
	}
	return sum
}
