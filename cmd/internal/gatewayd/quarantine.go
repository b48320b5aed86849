package gatewayd

import (
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/quarantine"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// newLedger makes the ledger of requests under which backend servers end, and the part
// that tells the other routers.
func (p *Process) newLedger() (*quarantine.Tracker, *exchange.CrashGossiper) {
	ledger := quarantine.NewTracker(p.Settings.ID)
	teller := exchange.NewCrashGossiper(p.Settings.ID)
	ledger.Routers = p.node.Routers
	ledger.OnPending = teller.Trigger
	ledger.OnQuarantined = p.onQuarantined
	ledger.OnReleased = p.onReleased
	teller.Tracker = ledger
	teller.Transport = p.tellings
	teller.Routers = p.node.Routers
	teller.Address = tellingsAddress
	p.teller.OnCrashes = ledger.Merge
	return ledger, teller
}

func (p *Process) onQuarantined(key quarantine.Key, ends int) {
	events.RequestQuarantined.On(&p.Log).Stringer("key", key).Int("ends", ends).Send()
}

func (p *Process) onReleased(key quarantine.Key) {
	events.RequestReleased.On(&p.Log).Stringer("key", key).Send()
}
