package directory

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

// BenchmarkFirstList measures how long a starting router takes to apply its first list of backend
// servers once it is decoded.
func BenchmarkFirstList(b *testing.B) {
	for _, size := range []int{2_500, 5_000, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			snapshot := slipwick.FeedBatch{
				IsSnapshot: true,
				Revision:   1,
			}
			changes := make([]Change[balance.Entry], 0, size)
			for i := range size {
				id := fmt.Sprintf("s-%08x", i*2654435761)
				snapshot.Entries = append(snapshot.Entries, slipwick.FeedEntry{
					Name:  id,
					Value: []byte("entry"),
				})
				changes = append(changes, Change[balance.Entry]{
					Name: id,
					Value: balance.Entry{
						Backend: slipwick.Backend{
							ID:         id,
							Address:    fmt.Sprint("10.0.0.1:", i),
							DataCentre: "z",
							Slots:      16,
							StartTime:  int64(i + 1),
						},
						Pool: "pool",
					},
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				mirror := NewMirror()
				mirror.Apply(&snapshot)
				balancer := balance.New("z")
				NewBackends(balancer.ChangeBackends).Apply(changes)
			}
		})
	}
}
