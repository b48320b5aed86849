package configuration

import (
	"strings"
	"testing"

	"github.com/slipwick/slipwick"
)

const workspacesFile = `{
	"workspaces": [{"name": "w",
		"key_hashes": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}],
	"rules": [{"workspace": "w", "model": "m", "pool": "p"}],
}`

const poolsFile = `{
	"pools": [{"name": "p", "kind": "engine",
		"backends": [{"id": "e1", "address": "127.0.0.1:1", "data_centre": "a"}]}],
}`

func TestReadJoinsFiles(t *testing.T) {
	state, err := Read(map[string][]byte{
		"a.json": []byte(workspacesFile),
		"b.json": []byte(poolsFile),
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(state.Workspaces) != 1 || len(state.Pools) != 1 || len(state.Rules) != 1 {
		t.Errorf("got %+v, want what both files declare", state)
	}
}

func TestReadListsMistakesOfAllFiles(t *testing.T) {
	for _, tc := range []struct {
		name  string
		files map[string]string
		want  []string
	}{
		{
			name: "pool not declared",
			files: map[string]string{
				"a.json": workspacesFile,
			},
			want: []string{"a.json:4: /rules/0/pool: p is not declared"},
		},
		{
			name: "declared twice",
			files: map[string]string{
				"a.json": poolsFile,
				"b.json": poolsFile,
			},
			want: []string{
				"b.json:2: /pools/0/name: p is declared twice", "b.json:3: /pools/0/backends/0/id: e1 is declared twice",
			},
		},
		{
			name: "both files wrong",
			files: map[string]string{
				"a.json": `{"pool": []}`,
				"b.json": `{"workspaces": [{"name": "w", "key_hashes": ["short"]}]}`,
			},
			want: []string{"a.json:1: /pool: unknown field", "b.json:1: /workspaces/0/key_hashes/0: short"},
		},
	} {
		contents := make(map[string][]byte)
		for name, text := range tc.files {
			contents[name] = []byte(text)
		}
		_, err := Read(contents)
		if err == nil {
			t.Errorf("%s: got no error, want mistakes", tc.name)
			continue
		}
		for _, want := range tc.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: got %q, want it to contain %q", tc.name, err, want)
			}
		}
	}
}

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

// TestOfferIgnoresOlderVersions checks also that the state in force stays if a newer one can't be
// decoded.
func TestOfferIgnoresOlderVersions(t *testing.T) {
	var inForce []slipwick.Version
	f := &Follower{
		OnChange: func(s *Snapshot) { inForce = append(inForce, s.Version) },
	}
	for _, version := range []slipwick.Version{3, 2, 3, 7, 1} {
		if err := f.Offer(slipwick.Object{
			Value:   []byte(`{}`),
			Version: version,
		}); err != nil {
			t.Fatal(err)
		}
	}
	if len(inForce) != 2 || inForce[0] != 3 || inForce[1] != 7 {
		t.Errorf("got versions %v in force, want 3 and 7", inForce)
	}
	if err := f.Offer(slipwick.Object{
		Value:   []byte(`{`),
		Version: 9,
	}); err == nil || f.Current().Version != 7 {
		t.Errorf("got %v and version %d for a broken state, want an error and 7", err, f.Current().Version)
	}
}
