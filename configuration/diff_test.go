package configuration

import (
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
	if changes := Diff(&before, &before); len(changes) != 0 {
		t.Errorf("got %+v for the same state, want none", changes)
	}
}
