package retry

// historySlots is the number of slots that a history keeps: those of a window, of the one before it and the one that
// its beginning cuts.
const historySlots = 2*windowSlots + 1

// history counts events by slot.
type history struct {
	counts [historySlots]int
	newest int64
}

// advance begins the slots up to the given one.
func (h *history) advance(slot int64) {
	for i := max(h.newest+1, slot-historySlots+1); i <= slot; i++ {
		h.counts[i%historySlots] = 0
	}
	h.newest = max(h.newest, slot)
}

// add adds events to a slot that has begun; it does nothing if the slot is not kept any more.
func (h *history) add(slot int64, n int) {
	if slot >= 0 && slot > h.newest-historySlots {
		h.counts[slot%historySlots] += n
	}
}

// clear forgets all events.
func (h *history) clear() { clear(h.counts[:]) }

// spread adds events evenly to the slots from the first to the last.
func (h *history) spread(first, last int64, n int) {
	slots := int(last - first + 1)
	for i := range slots {
		h.add(first+int64(i), n*(i+1)/slots-n*i/slots)
	}
}

// sum returns the number of events from the first to the last slot, both included.
func (h *history) sum(first, last int64) (total int) {
	for i := max(first, h.newest-historySlots+1, 0); i <= min(last, h.newest); i++ {
		total += h.counts[i%historySlots]
	}
	return total
}
