package gatewayd

import "github.com/slipwick/slipwick/cmd/internal/events"

// onConnectionsLimited logs that connections of callers begin or cease to be limited.
func (p *Process) onConnectionsLimited(limited bool, usual, offered float64, refused int) {
	event := events.ConnectionsUnlimited
	if limited {
		event = events.ConnectionsLimited
	}
	event.On(&p.Log).Float64("usual", usual).Float64("offered", offered).
		Int("refused", refused).Send()
}
