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

// entriesStartedAt lists engines of which one began at another time than the others.
func entriesStartedAt(id string, born int64) []Entry {
	list := testEntries(restartEngines)
	for i := range list {
		list[i].Born = 1_000
		if list[i].ID == id {
			list[i].Born = born
		}
	}
	return list
}

// restartFleet is three routers that tell each other all.
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

// told gives what a router has to tell.
func (f *restartFleet) takeUpdate(router int) Update {
	return f.routers[router].TakeUpdate()
}

// hear has all others hear what a router update.
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

// TestRestartedServerIsANewIncarnation has an engine with a prompt, and requests of all
// routers in flight, start again within a heartbeat: its entry never goes.
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
				t.Errorf("router %d: got the prompt's home believed, want it unknown", i)
			}
			if got := b.InFlight("p"); got != 0 {
				t.Errorf("router %d: got %v requests in flight, want the new life to begin at none", i, got)
			}
		}
		for i, update := range late {
			f.deliver(i, update)
		}
		for i, b := range f.routers {
			if b.HasCachedPrompt(prompt(7)) || b.InFlight("p") != 0 {
				t.Errorf("router %d: got news of the earlier life believed: home %t, %v in flight",
					i, b.HasCachedPrompt(prompt(7)), b.InFlight("p"))
			}
			// What was in flight at the earlier life ends, and fails.
			b.Release(leases[i], slipwick.EvidenceError)
			if got := f.state(i, id); got.InFlight != 0 || got.ErrorRate != 0 || got.Out {
				t.Errorf("router %d: got %+v after the ends of the earlier life, want a fresh one", i, got)
			}
		}
		again := acquire(t, f.routers[1], prompt(7))
		if again.FetchFrom != "" {
			t.Errorf("got a fetch from %s, want the prompt read", again.FetchFrom)
		}
	})
}

// TestEjectionsBelongToAnIncarnation has an engine left out, start again, and get requests.
func TestEjectionsBelongToAnIncarnation(t *testing.T) {
	b := New("dc-0")
	b.SetBackends(entriesStartedAt("", 0))
	lease := acquire(t, b, &Request{Pool: "p"})
	b.Release(lease, slipwick.EvidenceRefused)
	id := lease.Backend.ID
	isEjected := func() bool {
		states := b.States()
		return states[slices.IndexFunc(states, func(s State) bool { return s.ID == id })].Out
	}
	if !isEjected() {
		t.Fatal("got an engine that refuses connections not left out")
	}
	b.SetBackends(entriesStartedAt(id, 9_000))
	if isEjected() {
		t.Error("got the new life left out for what the earlier one did")
	}
}

// TestEntryWithoutStartTimeIsTheSameIncarnation has entries of earlier contracts, and one that
// leaves the birth out once.
func TestEntryWithoutStartTimeIsTheSameIncarnation(t *testing.T) {
	for _, births := range [][]int64{{0, 0}, {1_000, 0}, {1_000, 0, 1_000}, {1_000, 1_000}} {
		b := New("dc-0")
		for i, born := range births {
			list := testEntries(restartEngines)
			for j := range list {
				list[j].Born = born
			}
			b.SetBackends(list)
			if i == 0 {
				b.RecordResponseStart(acquire(t, b, prompt(7)))
			}
		}
		if !b.HasCachedPrompt(prompt(7)) || b.InFlight("p") != 1 {
			t.Errorf("births %v: got home %t and %v in flight, want one life",
				births, b.HasCachedPrompt(prompt(7)), b.InFlight("p"))
		}
	}
}
