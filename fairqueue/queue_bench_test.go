package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkFullQueue measures a push, an estimate and a pop with 5000 waiting requests of 330
// workspaces.
func BenchmarkFullQueue(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	newRandom := func() *Item {
		item := newItem(fmt.Sprint(random.IntN(330)), random.IntN(4), time.Duration(1+random.IntN(5000))*time.Millisecond)
		item.Request.Objective = epoch.Add(time.Hour)
		item.Request.Deadline = epoch.Add(time.Hour + time.Duration(random.IntN(600_000))*time.Millisecond)
		return item
	}
	q := New(Limits{})
	for range 5000 {
		q.Push(newRandom(), epoch)
	}
	items := make([]*Item, 4096)
	for i := range items {
		items[i] = newRandom()
	}
	b.ResetTimer()
	b.ReportAllocs()
	for i := range b.N {
		item := items[i%len(items)]
		q.ExpectedWait(item.Request, epoch, 48)
		q.Push(item, epoch)
		popped := q.Pop(epoch, nil)
		items[i%len(items)] = popped
	}
}
