package soak

import (
	"testing"
	"time"

	"github.com/slipwick/slipwick/standin/scripted"
)

// knownFault is what servers do that once made exchanges break a rule, or may look like it.
type knownFault struct {
	name string
	mix  scripted.Mix
	// disruptions repeat beside it.
	disruptions []disruption
}

// rejectionFollowedBy returns a plan of a rejection after which the server sends more, where the next response is due.
func rejectionFollowedBy(further scripted.Further) scripted.Plan {
	further.Moment = scripted.WhereDue
	return scripted.Plan{
		Action:  scripted.ActionReject,
		Further: []scripted.Further{further},
	}
}

// responseFollowedBy returns a plan of a run and its response after which the server sends more.
func responseFollowedBy(further scripted.Further) scripted.Plan {
	further.Moment = scripted.WhereDue
	return scripted.Plan{
		Further: []scripted.Further{further},
	}
}

var (
	repeated    = scripted.Further{}
	otherStatus = scripted.Further{
		Content:     scripted.SameRequest,
		Status:      429,
		IsRejection: true,
	}
	misdirected = scripted.Further{
		Content: scripted.SameRequest,
		Status:  421,
	}
	unnamed = scripted.Further{
		Content:     scripted.NoRequest,
		Status:      503,
		IsRejection: true,
	}
	anyRejection = scripted.Plan{
		Action: scripted.ActionReject,
	}
	lost = scripted.Plan{
		End: scripted.EndLost,
	}
	lostByReset = scripted.Plan{
		End: scripted.EndLostByReset,
	}
	cutShort = scripted.Plan{
		End: scripted.EndCut,
	}
	silent = scripted.Plan{
		End: scripted.EndSilent,
	}
	late = scripted.Plan{
		Pause:    900 * time.Millisecond,
		RunsLate: true,
	}
)

var knownFaults = []knownFault{
	{
		name: "rejections are sent once more",
		mix: scripted.Mix{
			Share: 60,
			Plans: []scripted.Plan{rejectionFollowedBy(repeated), rejectionFollowedBy(repeated), anyRejection},
		},
	},
	{
		name: "rejections are followed by ones with another status",
		mix: scripted.Mix{
			Share: 60,
			Plans: []scripted.Plan{rejectionFollowedBy(otherStatus), rejectionFollowedBy(misdirected), anyRejection},
		},
	},
	{
		name: "responses are lost, cut, late or missing beside rejections",
		mix: scripted.Mix{
			Share: 60,
			Plans: []scripted.Plan{anyRejection, anyRejection, anyRejection, lost, lostByReset, cutShort, silent, late},
		},
	},
	{
		name: "the same beside frozen and killed gateways and cut links",
		mix: scripted.Mix{
			Share: 60,
			Plans: []scripted.Plan{anyRejection, anyRejection, anyRejection, lost, lostByReset, cutShort, silent, late},
		},
		disruptions: []disruption{
			{
				Kind:     "freeze",
				After:    200 * time.Millisecond,
				Duration: 900 * time.Millisecond,
			},
			{
				Kind:     "kill",
				After:    600 * time.Millisecond,
				Duration: 600 * time.Millisecond,
				Gateway:  3,
			},
			{
				Kind:     "cut",
				After:    900 * time.Millisecond,
				Duration: 800 * time.Millisecond,
				Gateway:  1,
			},
			{
				Kind:    "terminate",
				After:   1200 * time.Millisecond,
				Gateway: 4,
			},
			{
				Kind:     "reset server",
				After:    1500 * time.Millisecond,
				Duration: 500 * time.Millisecond,
				Server:   2,
			},
			{
				Kind:     "freeze",
				After:    1700 * time.Millisecond,
				Duration: 1200 * time.Millisecond,
				Gateway:  5,
			},
		},
	},
	{
		name: "responses are followed by rejections that name no request",
		mix: scripted.Mix{
			Share: 30,
			Plans: []scripted.Plan{responseFollowedBy(unnamed)},
		},
	},
}

// TestServersOfKnownFaults guards against the faults by which requests ran twice or were refused though they ran: a
// rejection of an earlier send, or one that names no request, taken for the response to the send under way.
func TestServersOfKnownFaults(t *testing.T) {
	f := newExchangeFleet(t)
	for _, known := range knownFaults {
		t.Run(known.name, func(t *testing.T) {
			before := f.ledger.Counts()
			for seed := range *exchangePlays {
				mix := known.mix
				mix.Seed = uint64(seed)
				f.play(&mix, known.disruptions)
			}
			played, violations := f.ledger.Counts().Since(before), f.ledger.Violations()
			t.Logf("%d requests, %d sends, %d runs, by status %v, %d cases of broken rules: %v", played.Requests,
				played.Sends, played.Runs, played.ByStatus, len(violations), byRule(violations))
			if len(violations) > 0 {
				t.Errorf("got %d cases of broken rules, want none: %s", len(violations), summary(violations))
			}
		})
	}
	f.end()
}
