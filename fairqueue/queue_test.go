package fairqueue

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

func push(t *testing.T, q *Queue, items ...*Item) {
	t.Helper()
	for _, item := range items {
		if evicted, ok := q.Push(item, epoch); evicted != nil || !ok {
			t.Fatalf("push: got %v, %v, want no eviction", evicted, ok)
		}
	}
}

// checkOrder checks that the queue serves the items in this order.
func checkOrder(t *testing.T, q *Queue, now time.Time, want ...*Item) {
	t.Helper()
	for i, item := range want {
		if got := q.Pop(now, nil); got != item {
			t.Fatalf("item %d: got %+v, want %+v", i, got, item)
		}
	}
	if got := q.Pop(now, nil); got != nil {
		t.Errorf("got %+v at the end, want nothing", got.Request)
	}
}

// TestOrderOfServiceByClass guards against a wrong precedence of priority, class and deadline.
func TestOrderOfServiceByClass(t *testing.T) {
	q := New(Limits{})
	low := newItem("a", 3, time.Second)
	retry := newItem("a", 1, time.Second)
	retry.Request.Retry = true
	returning := newItem("a", 1, time.Second)
	returning.Request.Returning = true
	late := newItem("a", 0, time.Second)
	late.Request.Objective = epoch.Add(time.Second)
	late.Request.Deadline = epoch.Add(time.Minute)
	soon := newItem("a", 1, time.Second)
	soon.Request.Deadline = epoch.Add(20 * time.Second)
	later := newItem("a", 1, time.Second)
	push(t, q, late, low, retry, later, soon, returning)
	// The guard's credit after the first request lets the lowest priority pass once.
	checkOrder(t, q, epoch.Add(2*time.Second), returning, low, soon, later, retry, late)
}

// TestWorkspacesGetWorkByWeight guards against shares by number of requests: one workspace sends
// requests that are ten times larger, another has three times the weight.
func TestWorkspacesGetWorkByWeight(t *testing.T) {
	q := New(Limits{})
	for range 2000 {
		heavy := newItem("heavy", 0, time.Second)
		weighted := newItem("weighted", 0, 100*time.Millisecond)
		weighted.Request.Weight = 3
		push(t, q, heavy, weighted, newItem("light", 0, 100*time.Millisecond))
	}
	served := make(map[string]time.Duration)
	for range 2500 {
		item := q.Pop(epoch, nil)
		served[item.Request.Workspace] += item.Request.Work
	}
	light := served["light"].Seconds()
	if got := served["heavy"].Seconds() / light; got < 0.95 || got > 1.05 {
		t.Errorf("got %.3f times the work of an equal workspace with smaller requests, want 1", got)
	}
	if got := served["weighted"].Seconds() / light; got < 2.9 || got > 3.1 {
		t.Errorf("got %.3f times the work with three times the weight, want 3", got)
	}
}

// TestReturningCallersDontExcludeOthers guards against a workspace whose refused callers all return
// and that takes the whole pool because of that.
func TestReturningCallersDontExcludeOthers(t *testing.T) {
	q := New(Limits{})
	for range 1000 {
		returning := newItem("surging", 0, 100*time.Millisecond)
		returning.Request.Returning = true
		push(t, q, returning, newItem("other", 0, 100*time.Millisecond))
	}
	served := make(map[string]int)
	for i := range 1000 {
		item := q.Pop(epoch, nil)
		served[item.Request.Workspace]++
		if i == 0 && item.Request.Workspace != "surging" {
			t.Errorf("got a first attempt first, want the caller that returns")
		}
	}
	if got := served["other"]; got < 490 {
		t.Errorf("got %d of 1000 for the workspace at its share, want 500 less the lead of %d", got, returningLead)
	}
}

// TestGuardGivesASixteenthToLowerPriorities guards against starvation while urgent requests alone
// exceed the slots, and against a guard that gives more.
func TestGuardGivesASixteenthToLowerPriorities(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	q := New(Limits{})
	var served, total time.Duration
	arrived := epoch
	var oldest time.Time
	for i := range 20_000 {
		arrived = arrived.Add(time.Millisecond)
		for priority := range 3 {
			item := newItem("a", priority, time.Duration(1+random.IntN(200))*time.Millisecond)
			item.Request.Arrived = arrived
			push(t, q, item)
		}
		item := q.Pop(arrived, nil)
		total += item.Request.Work
		if item.Request.Priority == 0 {
			continue
		}
		served += item.Request.Work
		if item.Request.Arrived.Before(oldest) {
			t.Fatalf("request %d: got one that arrived before the last one served, want oldest first", i)
		}
		oldest = item.Request.Arrived
	}
	if got := served.Seconds() / total.Seconds(); got < 0.06 || got > 0.065 {
		t.Errorf("got %.4f of the work for lower priorities, want 1/16", got)
	}
}

// TestGuardHasNoEffectInShortBusyTimes guards against a guard that starts with new credit each time
// the queue runs empty, and so gives lower priorities half of the work.
func TestGuardHasNoEffectInShortBusyTimes(t *testing.T) {
	q := New(Limits{})
	lower := 0
	for range 160 {
		low, urgent := newItem("a", 1, time.Second), newItem("a", 0, time.Second)
		push(t, q, low, urgent, newItem("a", 0, time.Second))
		q.Pop(epoch, nil)
		if q.Pop(epoch, nil) == low {
			lower++
		}
		popAll(q, epoch)
	}
	if lower > 30 {
		t.Errorf("got a lower priority first in %d of 160 busy times, want about an eighth at most", lower)
	}
}

// TestFullQueueEvictsFromTheSurgingWorkspace guards against a surge that displaces the requests of
// others, or urgent ones.
func TestFullQueueEvictsFromTheSurgingWorkspace(t *testing.T) {
	q := New(Limits{MaxRequests: 4})
	urgent := newItem("surging", 0, time.Second)
	older, newer := newItem("surging", 1, time.Second), newItem("surging", 1, time.Second)
	newer.Request.Arrived = epoch.Add(time.Second)
	push(t, q, urgent, older, newer, newItem("quiet", 1, time.Second))
	if evicted, ok := q.Push(newItem("surging", 1, time.Second), epoch); evicted != nil || ok {
		t.Errorf("surging workspace: got %v, %v, want its request not added", evicted, ok)
	}
	if evicted, ok := q.Push(newItem("other", 1, time.Second), epoch); evicted != newer || !ok {
		t.Errorf("other workspace: got %v, %v, want the newest of the surging one evicted", evicted, ok)
	}
	if evicted, ok := q.Push(newItem("other", 2, time.Second), epoch); evicted != nil || ok {
		t.Errorf("lower priority: got %v, %v, want it not added", evicted, ok)
	}
	if evicted, ok := q.Push(newItem("surging", 0, time.Second), epoch); evicted == nil || !ok {
		t.Errorf("urgent request: got %v, %v, want one of the lowest priority evicted", evicted, ok)
	}
	if q.Len() != 4 {
		t.Errorf("got %d requests, want 4", q.Len())
	}
}

// TestQueueIsBoundedByBytesAndByThePool guards against a queue that holds more memory than the
// router allows, or more requests than the operator does.
func TestQueueIsBoundedByBytesAndByThePool(t *testing.T) {
	q := New(Limits{MaxBytes: 100})
	small, large := newItem("a", 1, time.Second), newItem("a", 1, time.Second)
	small.Request.Bytes, large.Request.Bytes = 30, 60
	push(t, q, large, small)
	urgent := newItem("b", 0, time.Second)
	urgent.Request.Bytes = 50
	if evicted, ok := q.Push(urgent, epoch); evicted != large || !ok {
		t.Errorf("got %v, %v, want the request evicted that frees enough", evicted, ok)
	}
	huge := newItem("b", 0, time.Second)
	huge.Request.Bytes = 101
	if evicted, ok := q.Push(huge, epoch); evicted != nil || ok {
		t.Errorf("got %v, %v, want a request above the limit not added", evicted, ok)
	}
	if got := q.Bytes(); got != 80 {
		t.Errorf("got %d bytes, want 80", got)
	}
	bounded := newItem("a", 1, time.Second)
	bounded.Request.MaxQueued = 2
	if evicted, ok := q.Push(bounded, epoch); evicted != nil || ok {
		t.Errorf("got %v, %v, want no request above the pool's bound added", evicted, ok)
	}
}

// TestExpireReturnsWhatCannotBeServed guards against requests that are served too late to be done by
// their deadline.
func TestExpireReturnsWhatCannotBeServed(t *testing.T) {
	q := New(Limits{})
	item := newItem("a", 0, 2*time.Second)
	item.Request.Deadline = epoch.Add(10 * time.Second)
	push(t, q, item, newItem("a", 0, time.Second))
	if got := q.Expire(epoch.Add(8 * time.Second)); len(got) != 0 {
		t.Errorf("got %d items that expired at the latest start, want none", len(got))
	}
	late := epoch.Add(8*time.Second + time.Millisecond)
	if got := q.Pop(late, nil); got == item {
		t.Errorf("got a request that can't be done by its deadline, want the other one")
	}
	if got := q.Expire(late); len(got) != 1 || got[0] != item || q.Len() != 0 {
		t.Errorf("got %v and %d left, want the expired item and none", got, q.Len())
	}
	if q.Remove(item) {
		t.Errorf("got the expired item removed again, want false")
	}
}

// TestLateRequestsAreNotHeldInVain guards against requests that wait until their deadline although
// others that can meet their objective keep taking all slots, and against the refusal of late requests
// that can be served.
func TestLateRequestsAreNotHeldInVain(t *testing.T) {
	for _, overloaded := range []bool{true, false} {
		q := New(Limits{})
		late := newItem("a", 1, 100*time.Millisecond)
		late.Request.Objective, late.Request.Deadline = epoch.Add(500*time.Millisecond), epoch.Add(2*time.Second)
		push(t, q, late)
		now := epoch
		var expired []*Item
		for now.Before(late.Request.Objective.Add(10 * time.Millisecond)) {
			now = now.Add(10 * time.Millisecond)
			urgent := newItem("b", 0, 100*time.Millisecond)
			urgent.Request.Objective, urgent.Request.Deadline = now.Add(time.Second), now.Add(10*time.Second)
			if overloaded {
				push(t, q, urgent, urgent.copy())
			}
			q.ExpectedWait(urgent.Request, now, 10)
			expired = append(expired, q.Expire(now)...)
			if overloaded {
				q.Pop(now, func(i *Item) bool { return i != late })
			}
		}
		if got := len(expired) == 1 && expired[0] == late; got != overloaded {
			t.Errorf("overloaded %t: got %d items expired after the objective, want the late one only in an overload",
				overloaded, len(expired))
		}
		if got := q.Remove(late); got == overloaded {
			t.Errorf("overloaded %t: got the late item in the queue %t, want %t", overloaded, got, !overloaded)
		}
	}
}

// TestExpectedWaitMatchesService guards against estimates that don't agree with the order of service:
// requests of 200 workspaces wait for 48 slots, and the estimate at a request's arrival is compared
// with the time at which it is served if nothing else arrives, as nothing did before.
func TestExpectedWaitMatchesService(t *testing.T) {
	const slots = 48
	random := rand.New(rand.NewPCG(5, 6))
	for range 50 {
		q := New(Limits{})
		newRandom := func() *Item {
			workspace := random.IntN(200)
			item := newItem(strconv.Itoa(workspace), random.IntN(3), time.Duration(50+random.IntN(400))*time.Millisecond)
			item.Request.Weight = 1 + uint32(workspace%3)
			item.Request.Deadline = epoch.Add(time.Hour + time.Duration(random.IntN(60))*time.Second)
			return item
		}
		for range 2000 {
			push(t, q, newRandom())
		}
		for range 200 {
			q.Pop(epoch, nil)
		}
		item := newRandom()
		expected := q.ExpectedWait(item.Request, epoch.Add(time.Minute), slots)
		push(t, q, item)
		work := time.Duration(0)
		for next := q.Pop(epoch, nil); next != item; next = q.Pop(epoch, nil) {
			work += next.Request.Work
		}
		wait := work / slots
		if difference := (expected - wait).Abs(); difference > wait/8+200*time.Millisecond {
			t.Errorf("priority %d: got an expected wait of %v, want %v as served", item.Request.Priority, expected, wait)
		}
	}
}

func TestExpectedWaitWithoutSlotsOrRequests(t *testing.T) {
	q := New(Limits{})
	request := &slipwick.PermitRequest{Pool: "pool"}
	if got := q.ExpectedWait(request, epoch, 0); got != Unbounded {
		t.Errorf("got %v without slots, want %v", got, Unbounded)
	}
	if got := q.ExpectedWait(request, epoch, 1); got != 0 {
		t.Errorf("got %v for an empty queue, want 0", got)
	}
}
