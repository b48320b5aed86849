package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/slipwick/slipwick/placement"
)

// Entry is what one workspace uses and wants of a pool at one priority: at one router, at the routers
// of a group or in the whole fleet. Pools and workspaces are identified by Hash.
type Entry struct {
	Pool uint32
	// Workspace is RestOfWorkspaces if the entry sums up several workspaces. Weight is then a sketch of
	// these, which has one bit set for each of them.
	Workspace uint32
	Priority  int
	Weight    uint32
	InFlight  int
	// Waiting counts the requests that wait or were refused within about recentTime, Work is the time
	// for which they would occupy slots.
	Waiting int
	Work    time.Duration
	// Queued counts the requests that wait if the priority is the most urgent one of the pool. Datagrams
	// have only the sum for each pool, which one entry of the pool then has.
	Queued int
}

// RestOfWorkspaces identifies an entry that sums up several workspaces.
const RestOfWorkspaces = 0

// Hash identifies the name of a pool or workspace in entries.
func Hash(name string) uint32 {
	hash := uint32(placement.IDHash(name))
	if hash == RestOfWorkspaces {
		return ^hash
	}
	return hash
}

// workHorizon is the time within which waiting work should begin to be served: a workspace wants as
// many slots as are needed for that, but no more than it has requests.
const workHorizon = 250 * time.Millisecond

// wanted returns how many slots the waiting requests need.
func (e *Entry) wanted() float64 {
	return min(float64(e.Waiting), e.Work.Seconds()/workHorizon.Seconds())
}

// demand orders entries by size.
func (e *Entry) demand() int {
	return e.InFlight + e.Waiting
}

type entryKey struct {
	pool, workspace uint32
	priority        int
}

func (e *Entry) key() entryKey {
	return entryKey{
		pool:      e.Pool,
		workspace: e.Workspace,
		priority:  e.Priority,
	}
}

func (e *Entry) add(other *Entry) {
	if e.Workspace == RestOfWorkspaces {
		e.Weight |= other.sketch()
	} else {
		e.Weight = max(e.Weight, other.Weight)
	}
	e.InFlight += other.InFlight
	e.Waiting += other.Waiting
	e.Work += other.Work
	e.Queued += other.Queued
}

// Sum adds up the entries of several lists, sorted by pool, priority and workspace. The weight of a
// workspace is the largest listed.
func Sum(lists ...[]Entry) []Entry {
	index := make(map[entryKey]int)
	var sum []Entry
	for _, list := range lists {
		for i := range list {
			e := &list[i]
			at, known := index[e.key()]
			if !known {
				index[e.key()] = len(sum)
				sum = append(sum, *e)
				continue
			}
			sum[at].add(e)
		}
	}
	sortEntries(sum)
	return sum
}

func sortEntries(list []Entry) {
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Workspace, b.Workspace))
	})
}

// Truncate returns at most limit entries, and in addition one for each pool and priority that sums up
// those left out. The entries that the fleet's latest sums list come first, so that all routers list the
// same ones and their sums are complete; the largest others follow. It may reorder the list.
func Truncate(list []Entry, limit int, fleet []Entry) []Entry {
	if len(list) <= limit {
		return list
	}
	isListed := make(map[entryKey]bool, len(fleet))
	for i := range fleet {
		isListed[fleet[i].key()] = true
	}
	rank := func(e *Entry) int {
		switch {
		case e.Workspace == RestOfWorkspaces:
			return 2
		case !isListed[e.key()]:
			return 1
		default:
			return 0
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(b.demand(), a.demand()),
			cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Pool, b.Pool))
	})
	kept, left := slices.Clone(list[:limit]), list[limit:]
	rests := make(map[entryKey]*Entry)
	for i := range left {
		key := left[i].key()
		key.workspace = RestOfWorkspaces
		if rests[key] == nil {
			rests[key] = &Entry{
				Pool:     key.pool,
				Priority: key.priority,
			}
		}
		rests[key].add(&left[i])
	}
	for _, rest := range rests {
		kept = append(kept, *rest)
	}
	if len(rests) > maxRests {
		mergeRests(kept)
	}
	return Sum(kept)
}

// maxRests is the number of sums of entries left out above which those of a pool are merged into one.
const maxRests = 16

// mergeRests gives all sums of entries left out of a pool the least urgent priority among them.
func mergeRests(list []Entry) {
	lowest := make(map[uint32]int)
	for i := range list {
		if e := &list[i]; e.Workspace == RestOfWorkspaces {
			lowest[e.Pool] = max(lowest[e.Pool], e.Priority)
		}
	}
	for i := range list {
		if e := &list[i]; e.Workspace == RestOfWorkspaces {
			e.Priority = lowest[e.Pool]
		}
	}
}
