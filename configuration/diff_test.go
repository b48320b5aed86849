package configuration

import (
	"encoding/json"
	"testing"

	"github.com/slipwick/slipwick"
)

func TestDiffNamesWhatChanged(t *testing.T) {
	pool := func(address string) State {
		return State{
			Pools: []Pool{
				{
					Name: "p",
					Backends: []slipwick.Backend{
						{
							ID:      "e1",
							Address: address,
						},
					},
				},
			},
		}
	}
	before, after := pool("a:1"), pool("b:1")
	after.Workspaces = []Workspace{
		{
			Name: "w",
		},
	}
	changes := Diff(&before, &after)
	if len(changes) != 2 || changes[0].Entry != "pool/p/backend/e1" || changes[0].Kind != ChangeChanged ||
		changes[1].Entry != "workspace/w" || changes[1].Kind != ChangeAdded {
		t.Errorf("got %+v, want the backend server changed and the workspace added", changes)
	}
	changes = Diff(&before, &before)
	if len(changes) != 0 {
		t.Errorf("got %+v for the same state, want none", changes)
	}
	// Scripts read this list as the JSON output of commands: null is no list.
	if text, err := json.Marshal(changes); err != nil || string(text) != "[]" {
		t.Errorf("got %s and error %v as JSON for the same state, want an empty list", text, err)
	}
}
