//go:build race

package directory

// mostRouters bounds the fleets that are played under the race detector: its own runtime ends
// itself in bubbles of many thousand timers. make test plays all sizes without it besides.
const mostRouters = 62
