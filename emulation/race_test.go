//go:build race

package emulation

import "runtime"

// The race detector crashes if two threads run timers of one synctest bubble at the same time,
// because a bubble has one race context for all of its timers. On one processor no two run at once.
// Races are still found, since the detector finds them by the order of synchronization, not by the
// times at which goroutines run.
func init() { runtime.GOMAXPROCS(1) }
