package balance

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

const restartEngines = 6

// entriesStartedAt returns entries of engines, of which the one with the ID started at another time
// than the others.
func entriesStartedAt(id string, startTime int64) []Entry {
	list := testEntries(restartEngines)
	for i := range list {
		list[i].StartTime = 1_000
		if list[i].ID == id {
			list[i].StartTime = startTime
		}
	}
	return list
}

// restartFleet has three routers that send each other updates.
type restartFleet struct {
	routers  []*Balancer
	sequence uint64
}

func newRestartFleet() *restartFleet {
	f := &restartFleet{}
	for range 3 {
		b := New("dc-0")
		b.SetBackends(entriesStartedAt("", 0))
		b.MarkCachesKnown()
		b.SetPeers(f.others(len(f.routers)), 2)
		f.routers = append(f.routers, b)
	}
	return f
}

func (f *restartFleet) others(self int) []string {
	var ids []string
	for i := range 3 {
		if i != self {
			ids = append(ids, fmt.Sprint("r", i))
		}
	}
	return ids
}

// takeUpdate returns a router's next update.
func (f *restartFleet) takeUpdate(router int) Update {
	return f.routers[router].TakeUpdate()
}

// deliver has all other routers receive an update.
func (f *restartFleet) deliver(from int, update Update) {
	f.sequence++
	for i, b := range f.routers {
		if i != from {
			b.ReceiveCounts(fmt.Sprint("r", from), f.sequence, update.InFlight)
			b.ReceiveCachedParts(update.CachedParts)
			b.ReceivePrefills(update.CachedParts)
			b.ReceiveOutcomes(update.Outcomes)
		}
	}
}

func (f *restartFleet) setBackends(list []Entry) {
	for _, b := range f.routers {
		b.SetBackends(list)
	}
}

func (f *restartFleet) state(router int, id string) State {
	states := f.routers[router].States()
	return states[slices.IndexFunc(states, func(s State) bool { return s.ID == id })]
}

// TestRestartedServerIsANewIncarnation has an engine restart that has a prompt cached and requests
// of all routers in flight. It restarts within a heartbeat interval, so that its entry never expires.
// Nothing known of the earlier incarnation may be applied to the new one.
func TestRestartedServerIsANewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartFleet()
		time.Sleep(RelistWindow + time.Second)
		first := acquire(t, f.routers[0], prompt(7))
		id := first.Backend.ID
		f.deliver(0, f.takeUpdate(0))
		f.routers[0].RecordResponseStart(first)
		leases := []*Lease{first, acquire(t, f.routers[1], prompt(7)), acquire(t, f.routers[2], prompt(7))}
		for i, lease := range leases[1:] {
			if lease.Backend.ID != id {
				t.Fatalf("router %d: got engine %s, want %s, which has the prompt", i+1, lease.Backend.ID, id)
			}
			f.routers[i+1].RecordResponseStart(lease)
		}
		late := []Update{f.takeUpdate(0), f.takeUpdate(1), f.takeUpdate(2)}
		for i, update := range late {
			f.deliver(i, update)
		}

		f.setBackends(entriesStartedAt(id, 9_000))
		for i, b := range f.routers {
			if b.HasCachedPrompt(prompt(7)) {
				t.Errorf("router %d: got the prompt cached, want it unknown", i)
			}
			if got := b.RequestsInFlight("p"); got != 0 {
				t.Errorf("router %d: got %v requests in flight, want the new incarnation to start at none", i, got)
			}
		}
		for i, update := range late {
			f.deliver(i, update)
		}
		for i, b := range f.routers {
			if b.HasCachedPrompt(prompt(7)) || b.RequestsInFlight("p") != 0 {
				t.Errorf("router %d: got updates of the earlier incarnation applied: prompt cached %t, %v in flight",
					i, b.HasCachedPrompt(prompt(7)), b.RequestsInFlight("p"))
			}
			// The requests in flight at the earlier incarnation fail.
			b.Release(leases[i], slipwick.EvidenceError)
			if got := f.state(i, id); got.InFlight != 0 || got.ErrorRate != 0 || got.Ejected {
				t.Errorf("router %d: got %+v after requests to the earlier incarnation failed, want a fresh state", i, got)
			}
		}
		again := acquire(t, f.routers[1], prompt(7))
		if again.FetchFrom != "" {
			t.Errorf("got a fetch from %s, want the prompt prefilled", again.FetchFrom)
		}
	})
}

// TestEjectionsBelongToAnIncarnation checks that an ejected engine is not ejected after its restart.
func TestEjectionsBelongToAnIncarnation(t *testing.T) {
	b := New("dc-0")
	b.SetBackends(entriesStartedAt("", 0))
	lease := acquire(t, b, &Request{Pool: "p"})
	b.Release(lease, slipwick.EvidenceRefused)
	id := lease.Backend.ID
	isEjected := func() bool {
		states := b.States()
		return states[slices.IndexFunc(states, func(s State) bool { return s.ID == id })].Ejected
	}
	if !isEjected() {
		t.Fatal("got an engine that refuses connections not ejected")
	}
	b.SetBackends(entriesStartedAt(id, 9_000))
	if isEjected() {
		t.Error("got the new incarnation ejected for a failure of the earlier one")
	}
}

// TestEntryWithoutStartTimeIsTheSameIncarnation has entries without start times, as servers write
// them that use an earlier version of the platform's protocol, and an entry that lacks its start time
// once.
func TestEntryWithoutStartTimeIsTheSameIncarnation(t *testing.T) {
	for _, starts := range [][]int64{{0, 0}, {1_000, 0}, {1_000, 0, 1_000}, {1_000, 1_000}} {
		b := New("dc-0")
		for i, startTime := range starts {
			list := testEntries(restartEngines)
			for j := range list {
				list[j].StartTime = startTime
			}
			b.SetBackends(list)
			if i == 0 {
				b.RecordResponseStart(acquire(t, b, prompt(7)))
			}
		}
		if !b.HasCachedPrompt(prompt(7)) || b.RequestsInFlight("p") != 1 {
			t.Errorf("start times %v: got prompt cached %t and %v in flight, want one incarnation",
				starts, b.HasCachedPrompt(prompt(7)), b.RequestsInFlight("p"))
		}
	}
}
