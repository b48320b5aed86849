package burn

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick/burn"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/jsonfile"
)

// TestWorkspaceWithoutObjectiveHasNoBurnRate guards against a burn rate of 0, as of a workspace that meets its
// objective, for one that has none.
func TestWorkspaceWithoutObjectiveHasNoBurnRate(t *testing.T) {
	var workspaces []configuration.Workspace
	for _, name := range []string{"with", "without"} {
		workspaces = append(workspaces, configuration.Workspace{
			Name: name,
		})
	}
	workspaces[0].Objectives.FirstToken = jsonfile.Duration(time.Second)
	counts := []burn.Counts{
		{
			Total:       4,
			FirstTokens: 4,
		},
	}
	rows := burnRows(&configuration.State{
		Workspaces: workspaces,
	}, map[string][]burn.Counts{
		"with":    counts,
		"without": counts,
	})
	if rows[0].FirstToken == nil || *rows[0].FirstToken != 0 {
		t.Errorf("with an objective: got %v, want a rate of 0", rows[0].FirstToken)
	}
	text, err := json.Marshal(rows[1])
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"first_token_burn":null`) {
		t.Errorf("without an objective: got %s, want no rate", text)
	}
}
