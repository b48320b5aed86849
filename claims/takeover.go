package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
)

// takeOver reads the journal and fences off its last writer, whether or not
// that one still runs: it writes the open segment, or makes the one that
// follows a sealed segment, so that the last writer's next write conflicts.
func (j *journal) takeOver(ctx context.Context) error {
	objects, err := j.store.List(ctx, prefixOf(j.number))
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
		if open, err = j.following(open, slots); err != nil {
			return err
		}
	}
	content := open.with(nil, j.nextWrite(), j.policy.SegmentBytes)
	// An open segment is sealed by a write with entries alone.
	content.Sealed = false
	version, err := j.write(ctx, j.slotOf(content), content, open.version)
	if err != nil {
		return err
	}
	j.slots = slots
	j.index = make(index)
	for _, s := range inOrder(slots) {
		for _, e := range s.content.GetEntries() {
			j.index.apply(e)
		}
	}
	j.setOpen(content, version)
	return nil
}

func decode(objects []slipwick.Object, number int) (map[uint64]*segment, error) {
	slots := make(map[uint64]*segment, len(objects))
	byKey := make(map[string]uint64, len(objects))
	for slot := range uint64(len(objects)) {
		byKey[keyOf(number, slot)] = slot
	}
	for _, object := range objects {
		content := &claimspb.Segment{}
		if err := proto.Unmarshal(object.Value, content); err != nil {
			return nil, errors.Wrapf(err, "object %s is no segment; move it away", object.Key)
		}
		// Slots fill from 0 on without holes.
		slots[byKey[object.Key]] = &segment{
			content: content,
			version: object.Version,
		}
	}
	return slots, nil
}

func newest(slots map[uint64]*segment) *segment {
	var found *segment
	for _, s := range slots {
		if found == nil || s.content.GetSequence() > found.content.GetSequence() {
			found = s
		}
	}
	return found
}

// errFull says that the journal's oldest segment has not expired.
var errFull = errors.New("the journal is full; raise its segments or lower the window")

// following gives the segment after a sealed one, in a new or an expired slot.
func (j *journal) following(sealed *segment, slots map[uint64]*segment) (*segment, error) {
	next := &segment{
		content: &claimspb.Segment{
			Sequence: sealed.content.GetSequence() + 1,
		},
	}
	if used := slots[j.slotOf(next.content)]; used != nil {
		if !time.Now().After(used.expires()) {
			return nil, errFull
		}
		next.version = used.version
	}
	return next, nil
}

func (j *journal) slotOf(content *claimspb.Segment) uint64 {
	return content.GetSequence() % uint64(j.policy.Segments)
}
