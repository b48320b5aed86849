package serve

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const validSettings = `{
  "id": "g1", "data_centre": "d",
  "listen": {"callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3"},
  "table": "table.jsonc" // beside this file
}`

const validTable = `{"version": 1,
 "pools": [{"name": "p", "backends": []}],
 "routes": [{"name": "r", "host": "h", "prefix": "/", "kind": "single", "targets": [{"pool": "p"}]}]}`

// check runs slipwickd gateway --check on the settings and the table. It returns the exit code and the
// output.
func check(t *testing.T, settings, table string) (code int, output string) {
	t.Helper()
	directory := t.TempDir()
	for name, text := range map[string]string{
		"gateway.jsonc": settings,
		"table.jsonc":   table,
	} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	code = Main(cli.Streams{
		Out: &out,
		Err: &out,
	}, []string{"gateway", "--check", "--config", filepath.Join(directory, "gateway.jsonc")})
	return code, out.String()
}

func TestGatewayCheckListsErrors(t *testing.T) {
	bounds := `"bounds": {"load_factor": 1.4, "load_slack": 3, "apply": "1s", "leave": "1s", "heartbeat": "600ms",
  "ready_every": "1s"}, "table"`
	for _, settings := range []string{validSettings, strings.Replace(validSettings, `"table"`, bounds, 1)} {
		if code, output := check(t, settings, validTable); code != cli.ExitOK {
			t.Errorf("valid settings: got exit code %d, %s; want 0", code, output)
		}
	}
	for name, tc := range map[string]struct {
		settings, table string
		want            []string
	}{
		"several errors": {
			settings: strings.NewReplacer(`"g1"`, `""`, "127.0.0.1:2", "nowhere").Replace(validSettings),
			table:    validTable,
			want:     []string{"/id", "/listen/ready"},
		},
		"bounds out of range": {
			settings: strings.Replace(validSettings, `"table"`, `"bounds": {"load_factor": 0.5, "apply": "-1s"}, "table"`, 1),
			table:    validTable,
			want:     []string{"/bounds/load_factor", "/bounds/apply"},
		},
		"invalid JSON": {
			settings: "{",
			table:    validTable,
			want:     []string{"gateway.jsonc"},
		},
		"errors in the table": {
			settings: validSettings,
			table:    strings.Replace(validTable, `"single"`, `"double"`, 1),
			want:     []string{"table.jsonc", "/routes/0/kind"},
		},
	} {
		code, output := check(t, tc.settings, tc.table)
		if code != cli.ExitUsage {
			t.Errorf("%s: got exit code %d, want %d", name, code, cli.ExitUsage)
		}
		for _, want := range tc.want {
			if !strings.Contains(output, want) {
				t.Errorf("%s: got %q, want it to contain %s", name, output, want)
			}
		}
	}
}

func TestGatewayWithoutSettingsNamesConfigFlag(t *testing.T) {
	var out bytes.Buffer
	streams := cli.Streams{
		Out: &out,
		Err: &out,
	}
	if code := Main(streams, []string{"gateway", "--platform-settings", ""}); code != cli.ExitUsage {
		t.Errorf("got exit code %d, want %d", code, cli.ExitUsage)
	}
	if !strings.Contains(out.String(), "--config") {
		t.Errorf("got %q, want it to contain --config", out.String())
	}
}
