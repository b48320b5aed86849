package serve

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

func TestMainListsErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "broken.jsonc")
	if err := os.WriteFile(path, []byte("{\n\"idd\": 1,\n\"listen\": 3}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{
			name: "file with errors",
			args: []string{"--config", path},
			code: cli.ExitUsage,
			want: []string{":2: /idd: unknown field", ":3: /listen: not an object"},
		},
		{
			name: "missing file",
			args: []string{"--config", path + "x"},
			code: cli.ExitUsage,
			want: []string{"no such file", "--config"},
		},
		{
			name: "missing flag",
			code: cli.ExitUsage,
			want: []string{"--config"},
		},
	} {
		var out, errors bytes.Buffer
		got := Main(cli.Streams{
			Out: &out,
			Err: &errors,
		}, tc.args)
		if got != tc.code {
			t.Errorf("%s: got exit code %d, want %d", tc.name, got, tc.code)
		}
		for _, want := range tc.want {
			if !strings.Contains(errors.String(), want) {
				t.Errorf("%s: got %q, want it to contain %q", tc.name, errors.String(), want)
			}
		}
	}
}
