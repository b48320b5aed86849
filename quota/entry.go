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
	// Workspace is RestOfWorkspaces if the entry sums up several workspaces; Weight is then the sum of
	// their weights.
	Workspace uint32
	Priority  int
	Weight    uint32
	InFlight  int
	// Waiting counts the requests that wait or were refused within about recentTime, Work is the time
	// for which they would occupy slots.
	Waiting int
	Work    time.Duration
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
	e.InFlight += other.InFlight
	e.Waiting += other.Waiting
	e.Work += other.Work
}

// Sum adds up the entries of several lists, sorted by pool, priority and workspace. The weight of a
// workspace is the largest listed; those of entries for several workspaces are taken likewise, since
// the lists of different routers name mostly the same workspaces.
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
			sum[at].Weight = max(sum[at].Weight, e.Weight)
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
// those left out, which are the smallest. It may reorder the list.
func Truncate(list []Entry, limit int) []Entry {
	if len(list) <= limit {
		return list
	}
	slices.SortFunc(list, func(a, b Entry) int {
		isRest := func(e *Entry) int {
			if e.Workspace == RestOfWorkspaces {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(isRest(&a), isRest(&b)), cmp.Compare(b.demand(), a.demand()),
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
		rests[key].Weight += max(left[i].Weight, 1)
	}
	for _, rest := range rests {
		kept = append(kept, *rest)
	}
	return Sum(kept)
}
