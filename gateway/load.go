package gateway

import (
	"strconv"
	"strings"

	"github.com/slipwick/slipwick/balance"
)

// The fields of Headers.Load, which are separated by commas. The first two are required.
const (
	loadRunning = iota
	loadWaiting
	loadSlots
	loadPace
)

// parseLoad parses the value of Headers.Load. ok is false without valid numbers of running and
// waiting requests. Invalid slots count as not reported; fields after the pace are ignored.
func parseLoad(text string) (load balance.Load, ok bool) {
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	if len(parts) <= loadWaiting {
		return balance.Load{}, false
	}
	running, err := strconv.Atoi(parts[loadRunning])
	if err != nil {
		return balance.Load{}, false
	}
	waiting, err := strconv.Atoi(parts[loadWaiting])
	if err != nil {
		return balance.Load{}, false
	}
	load.Running, load.Waiting = running, waiting
	if len(parts) > loadSlots {
		load.Slots = parseSlots(parts[loadSlots])
	}
	if len(parts) > loadPace && parts[loadPace] != "" {
		if load.Pace, ok = balance.ParsePace(parts[loadPace]); !ok {
			load.InvalidPace = parts[loadPace]
		}
	}
	return load, true
}

// parseSlots returns 0 for an invalid number of slots.
func parseSlots(text string) int {
	slots, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return max(slots, 0)
}

// parseBrittle parses the value of Headers.Brittle. It returns 0 without a valid one.
func parseBrittle(text string) int {
	rejections, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return max(rejections, 0)
}
