package claims

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
)

// takeOver reads the journal and fences off its last writer, whether or not that is still running:
// it rewrites the open segment, or creates the one that follows a sealed segment, so that the last
// writer's next write conflicts.
func (j *journal) takeOver(ctx context.Context) error {
	objects, err := j.store.List(ctx, keyPrefix(j.number))
	if err != nil {
		return errors.Wrap(err, "read journal")
	}
	slots, err := decode(objects, j.number)
	if err != nil {
		return err
	}
	open := newest(slots)
	if open == nil {
		open = &segment{
			content: &claimspb.Segment{},
		}
	} else if open.content.GetSealed() {
		if open, err = j.nextSegment(open, slots); err != nil {
			return err
		}
	}
	content := open.withEntries(nil, j.nextWrite(), j.policy.SegmentBytes)
	// Only a write with entries seals a segment.
	content.Sealed = false
	version, err := j.write(ctx, j.slotOf(content), content, open.version)
	if err != nil {
		return err
	}
	j.slots = slots
	j.index = make(index)
	for _, s := range sortedBySequence(slots) {
		for _, e := range s.content.GetEntries() {
			j.index.apply(e)
		}
	}
	j.setOpen(content, version)
	return nil
}

// decode returns the segments of a journal by slot. Slots may be missing, because an operator moved an
// object away.
func decode(objects []slipwick.Object, number int) (map[uint64]*segment, error) {
	slots := make(map[uint64]*segment, len(objects))
	for _, object := range objects {
		slot, ok := slotOfKey(object.Key, number)
		content := &claimspb.Segment{}
		if !ok || proto.Unmarshal(object.Value, content) != nil {
			return nil, errors.Errorf("object %s is not a journal segment; move it out of the prefix", object.Key)
		}
		slots[slot] = &segment{
			content: content,
			version: object.Version,
		}
	}
	return slots, nil
}

// newest returns the segment with the highest sequence, nil if there is none.
func newest(slots map[uint64]*segment) *segment {
	var found *segment
	for _, s := range slots {
		if found == nil || s.content.GetSequence() > found.content.GetSequence() {
			found = s
		}
	}
	return found
}

func sortedBySequence(slots map[uint64]*segment) []*segment {
	ordered := make([]*segment, 0, len(slots))
	for _, s := range slots {
		ordered = append(ordered, s)
	}
	slices.SortFunc(ordered, func(a, b *segment) int {
		return cmp.Compare(a.content.GetSequence(), b.content.GetSequence())
	})
	return ordered
}

// errJournalFull means that all slots are in use and the journal's oldest segment has not expired.
var errJournalFull = errors.New("the journal is full; raise MaxSegments or lower KeyLifetime")

// nextSegment returns the segment after a sealed one, in a new slot or in one whose segment has
// expired.
func (j *journal) nextSegment(sealed *segment, slots map[uint64]*segment) (*segment, error) {
	next := &segment{
		content: &claimspb.Segment{
			Sequence: sealed.content.GetSequence() + 1,
		},
	}
	if used := slots[j.slotOf(next.content)]; used != nil {
		if !time.Now().After(used.expires()) {
			return nil, errJournalFull
		}
		next.version = used.version
	}
	return next, nil
}

// slotOf returns the slot that a segment is stored in.
func (j *journal) slotOf(content *claimspb.Segment) uint64 {
	return content.GetSequence() % uint64(j.policy.MaxSegments)
}
