package directory

import (
	"slices"
	"sort"
)

// A mirror keeps the latest minChangesKept changes, or changesPerObject for each object if that
// is more: when many servers of a large pool disappear at once, followers still get the difference
// instead of a whole list.
const (
	minChangesKept   = 2048
	changesPerObject = 2
)

// changeRecord is the name of an object that changed, and the revision of the change.
type changeRecord struct {
	name     string
	revision uint64
}

// gap is a range of revisions in which this copy may have missed changes, because this router, or
// the one that sent it the difference, went from the first to the last by a list. A list shows the
// final state only: an object may have been removed and written again with the same value in
// between. A follower whose revision lies strictly inside a gap may have seen such an object as
// removed and would not get it again, so it has to list. A follower at the first revision of the
// gap has not seen the removal and misses nothing.
type gap struct {
	from, to uint64
}

// maxGaps is how many gaps are kept. Beyond it the oldest gap is discarded, with the changes up
// to its end.
const maxGaps = 16

// addGapLocked records a gap between the copy's revision and the given one.
func (m *Mirror) addGapLocked(to uint64) {
	m.gaps = append(m.gaps, gap{
		from: m.position.Revision,
		to:   to,
	})
	if len(m.gaps) > maxGaps {
		m.discardChangesLocked(m.gaps[0].to)
		m.gaps = m.gaps[1:]
	}
}

// discardChangesLocked discards the changes up to a revision.
func (m *Mirror) discardChangesLocked(to uint64) {
	m.discardedThrough = max(m.discardedThrough, to)
	m.changes = m.changes[m.firstAfterLocked(m.discardedThrough):]
}

// firstAfterLocked returns the index of the first change after a revision.
func (m *Mirror) firstAfterLocked(revision uint64) int {
	return sort.Search(len(m.changes), func(i int) bool { return m.changes[i].revision > revision })
}

// isInGapLocked reports whether a revision lies strictly inside a gap.
func (m *Mirror) isInGapLocked(revision uint64) bool {
	return slices.ContainsFunc(m.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}
