package directory

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestEvacuationMissingFromBackupStaysInForce has the store restored from a backup that was made
// before two evacuations, one of which is written again afterwards.
func TestEvacuationMissingFromBackupStaysInForce(t *testing.T) {
	const within = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var list []string
		e := NewEvacuations(within, func(now []string) {
			mu.Lock()
			defer mu.Unlock()
			list = now
		})
		put := func(name string, removed bool) {
			e.Apply([]Change[string]{
				{
					Name:    name,
					Value:   "dc-" + name,
					Removed: removed,
				},
			})
		}
		expect := func(when string, want ...string) {
			t.Helper()
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			if !slices.Equal(list, want) {
				t.Errorf("%s: got %v evacuated, want %v", when, list, want)
			}
		}
		put("a", false)
		put("b", false)
		put("c", false)
		put("c", true)
		expect("one ended", "dc-a", "dc-b")
		e.StoreRestored(time.Second)
		put("a", true)
		put("b", true)
		expect("after the restore", "dc-a", "dc-b")
		time.Sleep(within / 2)
		put("a", false)
		expect("one written again", "dc-a", "dc-b")
		time.Sleep(within)
		expect("after the grace period", "dc-a")
		put("a", true)
		expect("ended", []string{}...)
	})
}
