package gatewayd

import (
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/quarantine"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// newCrashTracker creates the tracker of requests that crash backend servers, and the gossiper
// that reports the crashes to the other routers.
func (p *Process) newCrashTracker() (*quarantine.Tracker, *exchange.CrashGossiper) {
	tracker := quarantine.NewTracker(p.Settings.ID)
	gossiper := exchange.NewCrashGossiper(p.Settings.ID)
	tracker.Routers = p.node.Routers
	tracker.OnPending = gossiper.Trigger
	tracker.OnQuarantined = p.onQuarantined
	tracker.OnReleased = p.onReleased
	gossiper.Tracker = tracker
	gossiper.Transport = p.exchangeUDP
	gossiper.Routers = p.node.Routers
	gossiper.Address = exchangeAddress
	p.syncer.OnCrashes = tracker.Merge
	return tracker, gossiper
}

func (p *Process) onQuarantined(key quarantine.Key, crashes int) {
	event := events.RequestQuarantined
	if key.IsPart() {
		event = events.PromptPartQuarantined
	}
	event.On(&p.Log).Stringer("key", key).Int("ends", crashes).Send()
}

func (p *Process) onReleased(key quarantine.Key) {
	event := events.RequestReleased
	if key.IsPart() {
		event = events.PromptPartReleased
	}
	event.On(&p.Log).Stringer("key", key).Send()
}
