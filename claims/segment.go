package claims

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
)

// segment is one object of a journal as its holder knows it.
type segment struct {
	content *claimspb.Segment
	// version is the version of the stored object, 0 if it does not exist.
	version slipwick.Version
}

// keyPrefix returns the common prefix of the keys of a journal's objects.
func keyPrefix(journal int) string {
	return fmt.Sprintf("slipwick/claims/%02d/", journal)
}

// objectKey returns the key of the object in a slot of a journal.
func objectKey(journal int, slot uint64) string {
	return fmt.Sprintf("%s%04d", keyPrefix(journal), slot)
}

// slotOfKey returns the slot of the object with the key; ok is false if the key is of no slot of the journal.
func slotOfKey(key string, journal int) (slot uint64, ok bool) {
	slot, err := strconv.ParseUint(strings.TrimPrefix(key, keyPrefix(journal)), 10, 64)
	return slot, err == nil && objectKey(journal, slot) == key
}

// expires returns when the last entry of the segment expires.
func (s *segment) expires() time.Time {
	var last uint64
	for _, e := range s.content.GetEntries() {
		last = max(last, e.GetExpiresMs())
	}
	return time.UnixMilli(int64(last))
}

// withEntries returns a copy with further entries and the number of the write. It is sealed if it
// is larger than sealAbove, in bytes.
func (s *segment) withEntries(entries []*claimspb.Entry, write uint64, sealAbove int) *claimspb.Segment {
	next := &claimspb.Segment{
		Sequence: s.content.GetSequence(),
		Write:    write,
	}
	next.Entries = append(next.Entries, s.content.GetEntries()...)
	next.Entries = append(next.Entries, entries...)
	next.Sealed = proto.Size(next) > sealAbove
	return next
}
