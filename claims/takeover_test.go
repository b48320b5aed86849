package claims

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
)

// TestJournalWithAMissingSlotIsReadCompletely guards against segments that overwrite each other, so that keys in
// use are forgotten and a request runs twice, after an operator has moved one object of the journal away, as
// the error for an object that is no segment says.
func TestJournalWithAMissingSlotIsReadCompletely(t *testing.T) {
	var objects []slipwick.Object
	for _, slot := range []uint64{0, 2, 3, 10_000} {
		value, err := proto.Marshal(&claimspb.Segment{
			Sequence: slot,
		})
		if err != nil {
			t.Fatal(err)
		}
		objects = append(objects, slipwick.Object{
			Key:   objectKey(7, slot),
			Value: value,
		})
	}
	slots, err := decode(objects, 7)
	if err != nil {
		t.Fatal(err)
	}
	if len(slots) != len(objects) {
		t.Errorf("got %d segments, want %d", len(slots), len(objects))
	}
	for slot, s := range slots {
		if got := s.content.GetSequence(); got != slot {
			t.Errorf("got the segment %d in slot %d", got, slot)
		}
	}
	for _, key := range []string{"x", "0", "-001", "00001"} {
		if _, err := decode([]slipwick.Object{
			{
				Key: keyPrefix(7) + key,
			},
		}, 7); err == nil {
			t.Errorf("got no error for the key %s, want that it is no segment", key)
		}
	}
}
