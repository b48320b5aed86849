//go:build race

package emulation

import "runtime"

// The race detector crashes if two threads run timers of one synctest bubble at the same time,
// because a bubble has one race context for all of its timers. On one processor no two run at once,
// and races are found all the same, since they are found by the order of events.
func init() { runtime.GOMAXPROCS(1) }
