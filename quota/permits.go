package quota

// permits are the permits that are in use. An ID has the index of its slot, plus 1, in its low half and
// the number of the slot's uses in its high half, so that a permit that is released twice is ignored.
type permits struct {
	slots []permitSlot
	free  []uint32
}

type permitSlot struct {
	record *record
	uses   uint32
}

// indexBits is the size of the index in an ID.
const indexBits = 32

func (p *permits) add(r *record) uint64 {
	var index uint32
	if n := len(p.free); n > 0 {
		index = p.free[n-1]
		p.free = p.free[:n-1]
	} else {
		index = uint32(len(p.slots))
		p.slots = append(p.slots, permitSlot{})
	}
	slot := &p.slots[index]
	slot.record = r
	slot.uses++
	return uint64(slot.uses)<<indexBits | uint64(index+1)
}

// remove returns the record of a permit and forgets the permit; nil if it isn't in use.
func (p *permits) remove(id uint64) *record {
	index, uses := uint32(id)-1, uint32(id>>indexBits)
	if int(index) >= len(p.slots) || p.slots[index].uses != uses || p.slots[index].record == nil {
		return nil
	}
	r := p.slots[index].record
	p.slots[index].record = nil
	p.free = append(p.free, index)
	return r
}
