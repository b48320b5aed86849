package claims

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/claims/claimspb"
)

// segment is one object of a journal as its holder knows it.
type segment struct {
	content *claimspb.Segment
	// version is the object's, 0 if it does not exist.
	version slipwick.Version
}

// prefixOf is that of a journal's objects.
func prefixOf(journal int) string {
	return fmt.Sprintf("slipwick/claims/%02d/", journal)
}

func keyOf(journal int, slot uint64) string {
	return fmt.Sprintf("%s%04d", prefixOf(journal), slot)
}

// expires is when nothing in the segment matters any more.
func (s *segment) expires() time.Time {
	var last uint64
	for _, e := range s.content.GetEntries() {
		last = max(last, e.GetExpiresMs())
	}
	return time.UnixMilli(int64(last))
}

// with gives a copy with more entries and a write's number.
func (s *segment) with(entries []*claimspb.Entry, write uint64, sealAbove int) *claimspb.Segment {
	next := &claimspb.Segment{
		Sequence: s.content.GetSequence(),
		Write:    write,
	}
	next.Entries = append(next.Entries, s.content.GetEntries()...)
	next.Entries = append(next.Entries, entries...)
	next.Sealed = proto.Size(next) > sealAbove
	return next
}
