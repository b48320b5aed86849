package gatewayd

import (
	"testing"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/retry"
	"github.com/slipwick/slipwick/routing"
)

// TestColdLimitsFollowTheSettingsReadLast reloads the settings with other bounds: limits that are
// computed from a routing table after that have to follow the new bounds.
func TestColdLimitsFollowTheSettingsReadLast(t *testing.T) {
	before := Bounds{
		ColdFactor: 1.5,
		ColdSlack:  5,
	}
	p := New(&Settings{
		Bounds: before,
	}, Feeds{})
	p.bounds.Store(&before)
	p.balancer = balance.New("d")
	p.gateway = &gateway.Gateway{
		Budget: &retry.Budget{},
	}
	p.ReadSettings = func() (*Settings, error) {
		return &Settings{
			Bounds: Bounds{
				ColdFactor: 2,
				ColdSlack:  1,
			},
		}, nil
	}
	p.reloadSettings()
	table := routing.NewTable(1, routing.Limits{}, []routing.Pool{
		{
			Name: "p",
			Cold: &routing.ColdCapacity{
				RequestsPerSecond: 13,
				Duration:          3 * time.Second,
			},
		},
	}, nil, nil)
	for selfRegistered, want := range map[bool]balance.ColdLimit{
		true: {
			MaxPerSecond: 27,
		},
		false: {
			MaxPerSecond:  27,
			NewServerTime: 3 * time.Second,
		},
	} {
		if got := p.bounds.Load().coldLimits(table, selfRegistered)["p"]; got != want {
			t.Errorf("self-registered servers: %t: got %+v, want %+v", selfRegistered, got, want)
		}
	}
}
