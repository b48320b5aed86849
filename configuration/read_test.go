package configuration

import (
	"strings"
	"testing"
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

func TestReadListsErrorsOfAllFiles(t *testing.T) {
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
			t.Errorf("%s: got no error, want validation errors", tc.name)
			continue
		}
		for _, want := range tc.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: got %q, want it to contain %q", tc.name, err, want)
			}
		}
	}
}
