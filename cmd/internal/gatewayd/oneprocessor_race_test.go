//go:build race

package gatewayd

import (
	"runtime"
	"testing"
)

// useOneProcessor limits the process to one processor until the test ends. The race detector crashes if
// two threads run timers of one synctest bubble at the same time, because a bubble has one race context
// for all of its timers.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}
