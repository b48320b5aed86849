package fairqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// machine applies random operations to a queue and to a list of what must be in it.
type machine struct {
	queue   *Queue
	limits  Limits
	now     time.Time
	waiting []*Item
}

func (m *machine) init(t *rapid.T) {
	m.limits = Limits{
		MaxRequests: rapid.IntRange(0, 12).Draw(t, "maxRequests"),
		MaxBytes:    rapid.Int64Range(0, 300).Draw(t, "maxBytes"),
	}
	m.queue, m.now = New(m.limits), epoch
}

func drawItem(t *rapid.T, now time.Time) *Item {
	request := &slipwick.PermitRequest{
		Pool:      "pool",
		Workspace: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "workspace"),
		Weight:    rapid.Uint32Range(0, 4).Draw(t, "weight"),
		MaxQueued: rapid.SampledFrom([]int{0, 0, 3, 20}).Draw(t, "maxQueued"),
		Bytes:     rapid.Int64Range(0, 100).Draw(t, "bytes"),
		Priority:  rapid.IntRange(0, 3).Draw(t, "priority"),
		Work:      time.Duration(rapid.IntRange(0, 500).Draw(t, "work")) * time.Millisecond,
		Arrived:   now,
		Returning: rapid.Bool().Draw(t, "returning"),
		Retry:     rapid.Bool().Draw(t, "retry"),
	}
	if left := rapid.IntRange(-100, 2000).Draw(t, "objective"); left != 0 {
		request.Objective = now.Add(time.Duration(left) * time.Millisecond)
	}
	if left := rapid.IntRange(0, 4000).Draw(t, "deadline"); left != 0 {
		request.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	return &Item{Request: request}
}

func (m *machine) push(t *rapid.T) {
	item := drawItem(t, m.now)
	before := len(m.waiting)
	evicted, ok := m.queue.Push(item, m.now)
	fits := m.limits.fits(before+1, item.Request.MaxQueued, m.bytes()+item.Request.Bytes)
	if fits && (evicted != nil || !ok) {
		t.Fatalf("got %v, %v for an item that fits, want it added", evicted, ok)
	}
	if !fits && ok && evicted == nil {
		t.Fatalf("got an item added to a full queue, want an eviction")
	}
	if evicted != nil {
		if !ok || evicted.Request.Priority < item.Request.Priority {
			t.Fatalf("got an eviction of priority %d for %d, %v; want none more urgent", evicted.Request.Priority,
				item.Request.Priority, ok)
		}
		m.drop(t, evicted)
	}
	if ok {
		m.waiting = append(m.waiting, item)
	}
}

func (m *machine) drop(t *rapid.T, item *Item) {
	index := slices.Index(m.waiting, item)
	if index < 0 {
		t.Fatalf("got an item that was not waiting, want one of %d", len(m.waiting))
	}
	m.waiting = slices.Delete(m.waiting, index, index+1)
}

func (m *machine) pop(t *rapid.T) {
	workspace := rapid.SampledFrom([]string{"", "a", "b", "c", "all"}).Draw(t, "eligible")
	eligible := func(i *Item) bool { return workspace == "all" || i.Request.Workspace == workspace }
	item := m.queue.Pop(m.now, eligible)
	servable := func(i *Item) bool { return eligible(i) && !i.isExpired(m.now) }
	if item == nil {
		if slices.ContainsFunc(m.waiting, servable) {
			t.Fatalf("got nothing while eligible items wait, want one")
		}
		return
	}
	if !servable(item) {
		t.Fatalf("got %+v, want an eligible item that is not expired", item.Request)
	}
	late := classOf(item.Request, m.now) == classLate
	for _, other := range m.waiting {
		if late && servable(other) && classOf(other.Request, m.now) != classLate {
			t.Fatalf("got a late item while one waits that can meet its objective")
		}
	}
	m.drop(t, item)
}

func (m *machine) remove(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	item := rapid.SampledFrom(m.waiting).Draw(t, "item")
	if !m.queue.Remove(item) || m.queue.Remove(item) {
		t.Fatalf("got a wrong result of Remove, want true once")
	}
	m.drop(t, item)
}

func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "passed")) * time.Millisecond)
}

func (m *machine) expire(t *rapid.T) {
	for _, item := range m.queue.Expire(m.now) {
		if !item.isExpired(m.now) && classOf(item.Request, m.now) != classLate {
			t.Fatalf("got an item that is not expired and can meet its objective")
		}
		m.drop(t, item)
	}
	if slices.ContainsFunc(m.waiting, func(i *Item) bool { return i.isExpired(m.now) }) {
		t.Fatalf("got an expired item left in the queue, want none")
	}
}

func (m *machine) estimate(t *rapid.T) {
	total := 0.0
	for _, item := range m.waiting {
		total += workOf(item.Request)
	}
	item := drawItem(t, m.now)
	got := m.queue.ExpectedWait(item.Request, m.now, 2)
	// The estimate is higher by what may arrive ahead meanwhile, which is bounded by the part of the
	// slots that is always left.
	if limit := total / 2 / minLateShare / (1 - guardShare); got < 0 || got.Seconds() > limit+0.001 {
		t.Fatalf("got an expected wait of %v, want at most %v s", got, limit)
	}
	if total == 0 && got != 0 {
		t.Fatalf("got an expected wait of %v for an empty queue, want 0", got)
	}
}

func (m *machine) bytes() int64 {
	bytes := int64(0)
	for _, item := range m.waiting {
		bytes += item.Request.Bytes
	}
	return bytes
}

// check compares the counts and the internal order with the list.
func (m *machine) check(t *rapid.T) {
	if m.queue.Len() != len(m.waiting) || m.queue.Bytes() != m.bytes() {
		t.Fatalf("got %d items of %d bytes, want %d of %d", m.queue.Len(), m.queue.Bytes(), len(m.waiting), m.bytes())
	}
	for _, l := range m.queue.levels {
		if l.len() == 0 {
			t.Fatalf("got an empty level %d, want it removed", l.priority)
		}
		start := 0.0
		for _, a := range l.accounts {
			if a.start < start || (a.len() > 0 && a.start < l.virtualTime) {
				t.Fatalf("got a start of %g after %g at a virtual time of %g, want them sorted and not before",
					a.start, start, l.virtualTime)
			}
			start = a.start
		}
	}
}

// TestQueueMatchesModel guards against lost and doubled items, service of what is not eligible, wrong
// counts and a wrong state after any sequence of operations.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{}
		m.init(t)
		t.Repeat(map[string]func(*rapid.T){
			"push":     m.push,
			"pop":      m.pop,
			"remove":   m.remove,
			"pass":     m.pass,
			"expire":   m.expire,
			"estimate": m.estimate,
			"":         m.check,
		})
	})
}
