package directory

import (
	"slices"
	"sort"
)

// keptChanges is how many changes are remembered for routers that follow this one, or
// changesFactor for each object if that is more: when a part of a large pool goes at once,
// the rest of the fleet is still told the difference.
const (
	minChangesKept   = 2048
	changesPerObject = 2
)

// change is an object that changed, and the revision that brought it.
type change struct {
	name     string
	revision uint64
}

// gap is from one revision to another, between which the copy was not followed. A list made
// up for it, here or at the router that told the difference, which tells what there is and
// not what changed: an object may have gone and come back as it was. Whoever knows a revision
// in between may know it as gone, and would not be told; whoever knows the first one lacks
// nothing.
type gap struct {
	from, to uint64
}

// gapsKept is how many gaps are remembered, with the changes before them.
const maxGaps = 16

// gapLocked notes that the copy was not followed from its position to the revision.
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

// forgetLocked forgets the changes up to a revision.
func (m *Mirror) discardChangesLocked(to uint64) {
	m.discardedThrough = max(m.discardedThrough, to)
	m.changes = m.changes[m.firstAfterLocked(m.discardedThrough):]
}

// firstAfterLocked is the index of the first change after a revision.
func (m *Mirror) firstAfterLocked(revision uint64) int {
	return sort.Search(len(m.changes), func(i int) bool { return m.changes[i].revision > revision })
}

func (m *Mirror) isInGapLocked(revision uint64) bool {
	return slices.ContainsFunc(m.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
}
