package slipwick

// Position identifies a state of a store. Revisions order the changes of one timeline. A store
// that is restored from a backup starts a new timeline, in which it assigns the revisions after
// the backup again, to different changes.
type Position struct {
	// Timeline is the number of the timeline, which grows with each restore from a backup; 0 if
	// unknown.
	Timeline uint64
	// Revision is the number of the last change.
	Revision uint64
}

// Before reports whether p is earlier than other. If one of the timelines is unknown, for example
// because an older router sent the position, only the revisions are compared.
func (p Position) Before(other Position) bool {
	if p.hasOtherTimeline(other) {
		return p.Timeline < other.Timeline
	}
	return p.Revision < other.Revision
}

// hasOtherTimeline reports whether the positions are known to belong to different timelines.
func (p Position) hasOtherTimeline(other Position) bool {
	return p.Timeline != other.Timeline && p.Timeline != 0 && other.Timeline != 0
}

// IsZero reports whether p is the zero Position, which stands for an unknown state.
func (p Position) IsZero() bool {
	return p == Position{}
}
