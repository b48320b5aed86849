package root

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/standin"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/internal/gatewayd"
)

const stateFile = `{
	// one pool
	"pools": [{"name": "p", "kind": "engine", "backends": [
		{"id": "e1", "address": "127.0.0.1:1", "data_centre": "a"}]}],
	"rules": [{"workspace": "*", "model": "m", "pool": "p"}],
}`

// command runs one command line and returns its exit code and output.
func command(t *testing.T, terminal bool, args ...string) (code int, out, errors string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Main(cli.Streams{
		Out:      &stdout,
		Err:      &stderr,
		Terminal: terminal,
	}, args)
	return code, stdout.String(), stderr.String()
}

// writeFile writes text to a file in a temporary directory and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "state.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestApplyDiffGet(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform())
	defer server.Close()
	path := writeFile(t, stateFile)
	platformFlag := []string{"--platform", server.URL}
	steps := []struct {
		name     string
		args     []string
		terminal bool
		code     int
		want     string
	}{
		{
			name: "diff before",
			args: []string{"diff", "-f", path},
			code: cli.ExitDiffers,
			want: `"added"`,
		},
		{
			name:     "dry run",
			args:     []string{"apply", "--dry-run", "-f", path},
			terminal: true,
			want:     "not written",
		},
		{
			name:     "apply",
			args:     []string{"apply", "-f", path},
			terminal: true,
			want:     "applied as version 1",
		},
		{
			name: "diff after",
			args: []string{"diff", "-f", path},
			want: "[]",
		},
		{
			name: "get",
			args: []string{"get", "config"},
			want: `"e1"`,
		},
	}
	for _, step := range steps {
		code, out, errors := command(t, step.terminal, append(platformFlag, step.args...)...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Errorf("%s: got %d %q %q, want %d with %q", step.name, code, out, errors, step.code, step.want)
		}
	}
}

// TestApplyConflict has two operators apply changes to the same version. The second must fail with a
// conflict that lists how its files differ from the first one's.
func TestApplyConflict(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform())
	defer server.Close()
	apply := func(text string, args ...string) (int, string) {
		line := append([]string{"--platform", server.URL, "apply", "-f", writeFile(t, text)}, args...)
		code, _, errors := command(t, false, line...)
		return code, errors
	}
	if code, errors := apply(stateFile); code != cli.ExitOK {
		t.Fatalf("got %d %q for the first state, want 0", code, errors)
	}
	if code, errors := apply(strings.ReplaceAll(stateFile, `"e1"`, `"e2"`), "--if-version", "1"); code != cli.ExitOK {
		t.Errorf("got %d %q for the first operator, want 0", code, errors)
	}
	code, errors := apply(strings.ReplaceAll(stateFile, `"e1"`, `"e3"`), "--if-version", "1")
	for _, want := range []string{
		"version 2 was applied in the meantime", "added pool/p/backend/e3", "removed pool/p/backend/e2", "apply again",
	} {
		if code != cli.ExitConflict || !strings.Contains(errors, want) {
			t.Errorf("got %d %q for the second operator, want %d with %q", code, errors, cli.ExitConflict, want)
		}
	}
}

func TestExitCodes(t *testing.T) {
	for _, tc := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{
			name: "unknown command",
			args: []string{"nothing"},
			code: cli.ExitUsage,
			want: "--help",
		},
		{
			name: "invalid file",
			args: []string{"apply", "-f", writeFile(t, `{"pools": [{"name": "p", "kind": "other", "backends": []}]}`)},
			code: cli.ExitUsage,
			want: "/pools/0/kind",
		},
		{
			name: "dangling names",
			args: []string{"apply", "-f", writeFile(t, strings.ReplaceAll(stateFile, `"pool": "p"`, `"pool": "q"`))},
			code: cli.ExitUsage,
			want: ":5: /rules/0/pool: q is not declared",
		},
		{
			name: "no platform",
			args: []string{"--platform", "http://127.0.0.1:1", "get", "config"},
			code: cli.ExitUnavailable,
			want: "check its address",
		},
		{
			name: "no router",
			args: []string{"status"},
			code: cli.ExitUsage,
			want: "--router",
		},
	} {
		code, _, errors := command(t, false, tc.args...)
		if code != tc.code || !strings.Contains(errors, tc.want) {
			t.Errorf("%s: got %d %q, want %d with %q", tc.name, code, errors, tc.code, tc.want)
		}
	}
}

func TestVersionAndCompletion(t *testing.T) {
	code, out, _ := command(t, false, "version", "--json")
	var got map[string]string
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != 0 || got["go"] == "" {
		t.Errorf("got %d %q, want JSON with the Go version", code, out)
	}
	for _, shell := range []string{"bash", "zsh"} {
		if code, out, _ := command(t, false, "completion", shell); code != 0 || !strings.Contains(out, "slipwick") {
			t.Errorf("%s: got %d %q, want a script", shell, code, out)
		}
	}
}

func TestDemo(t *testing.T) {
	code, out, errors := command(t, false, "demo", "--for", "4s", "--chats", "40", "--engines", "4", "--json")
	var got map[string]float64
	if err := json.Unmarshal([]byte(out), &got); err != nil {
		t.Fatalf("%v: %q", err, out)
	}
	if code != 0 || got["completed"] == 0 || got["duplicates"] != 0 || got["mismatched"] != 0 {
		t.Errorf("got %d %v %q, want completed requests, no duplicates and no mismatches", code, got, errors)
	}
}

func TestGateways(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != gatewayd.StatusPath {
			t.Errorf("got path %s, want %s", r.URL.Path, gatewayd.StatusPath)
		}
		_ = json.NewEncoder(w).Encode(&gatewayd.Status{
			Router:               "g1",
			Ready:                true,
			ConfigurationVersion: 7,
			Members:              []string{"g1", "g2"},
			Pools: []gatewayd.PoolStatus{
				{
					Pool:          "drafting",
					Permits:       "shares",
					UnderPressure: true,
					Slots:         48,
					InFlight:      47.2,
					Own:           5,
					Waiting:       9,
					Refused:       13,
					Workspaces: []gatewayd.WorkspaceStatus{
						{
							Workspace: "minutes",
							InFlight:  4,
							Waiting:   9,
							Share:     6,
						},
						{
							InFlight: 1,
						},
					},
				},
			},
			Backends: []balance.State{
				{
					ID:        "b1",
					Ejected:   true,
					EjectedMS: 250,
					ErrorRate: 0.31,
				},
				{
					ID:      "b2",
					Leaving: true,
				},
			},
		})
	}))
	defer server.Close()
	router := strings.TrimPrefix(server.URL, "http://")
	code, out, errors := command(t, true, "gateways", "--router", router)
	if code != cli.ExitOK || !strings.Contains(out, "g1") || !strings.Contains(out, "ready") {
		t.Errorf("got %d, %q, %q; want a row for g1", code, out, errors)
	}
	code, out, errors = command(t, true, "gateways", "--backends", "--router", router)
	if code != cli.ExitOK || !strings.Contains(out, "ejected for 250 ms") || !strings.Contains(out, "leaving") ||
		!strings.Contains(out, "0.31") {
		t.Errorf("got %d, %q, %q; want rows for b1 and b2", code, out, errors)
	}
	checkPoolsTable(t, router)
	code, out, _ = command(t, false, "gateways", "--pools", "--router", router)
	var statuses []gatewayd.Status
	if err := json.Unmarshal([]byte(out), &statuses); code != cli.ExitOK || err != nil || len(statuses) != 1 {
		t.Errorf("got %d, %q, %v; want JSON of one gateway", code, out, err)
	}
	server.Close()
	if code, _, _ := command(t, true, "gateways", "--router", router); code != cli.ExitUnavailable {
		t.Errorf("no gateway at the address: got exit code %d, want %d", code, cli.ExitUnavailable)
	}
}

// checkPoolsTable checks the pools of the gateway that TestGateways serves.
func checkPoolsTable(t *testing.T, router string) {
	t.Helper()
	code, out, errors := command(t, true, "gateways", "--pools", "--router", router)
	rows := strings.Split(strings.TrimSpace(out), "\n")
	if code != cli.ExitOK || len(rows) != 4 {
		t.Fatalf("got %d, %q, %q; want rows for the pool, the workspace and anonymous requests", code, out, errors)
	}
	for i, want := range []string{
		"g1 drafting all shares under pressure 48 47 5 9 13", "g1 drafting minutes 4 9 6", "g1 drafting (anonymous) 1 0",
	} {
		if got := strings.Join(strings.Fields(rows[i+1]), " "); got != want {
			t.Errorf("got the row %q, want %q", got, want)
		}
	}
}

const gatewayTable = `{
	// one data centre
	"version": 1,
	"pools": [{"name": "p", "backends": [{"id": "e1", "address": "127.0.0.1:1", "data_centre": "a"}]}],
}`

// TestEvacuateChangesTableFile evacuates a data centre twice, ends the evacuation and names a data
// centre without backend servers. The comments in the table file must be kept.
func TestEvacuateChangesTableFile(t *testing.T) {
	path := writeFile(t, gatewayTable)
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{
			args: []string{"a"},
			want: "evacuated",
		},
		{
			args: []string{"a"},
			want: "nothing to change",
		},
		{
			args: []string{"a", "--end"},
			want: "evacuation ended",
		},
		{
			args: []string{"b"},
			code: cli.ExitFailed,
			want: "no backend server",
		},
	} {
		code, out, failure := command(t, false, append([]string{"evacuate", "--table", path}, step.args...)...)
		if code != step.code || !strings.Contains(out+failure, step.want) {
			t.Errorf("evacuate %v: got code %d and %q, want %d and %q", step.args, code, out+failure, step.code, step.want)
		}
	}
	content, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(content), "// one data centre") {
		t.Errorf("got %q, %v; want the comment kept", content, err)
	}
}
