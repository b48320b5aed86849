package tablefile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/jsonfile"
	"github.com/slipwick/slipwick/routing"
)

const validFile = `{
  // A comment.
  "version": 3,
  "limits": {"body_bytes": 1000, "idle": "15s"},
  "routes": [{"name": "r", "host": "a.example", "prefix": "/x/", "kind": "stream", "resumable": true,
    "timeout": "8s", "max_attempts": 2, "affinity": true, "targets": [{"pool": "p"}]}],
  "pools": [{"name": "p", "engine": true, "backends": [
    {"id": "b1", "address": "10.0.0.1:80", "data_centre": "d"},
    {"id": "b2", "address": "10.0.0.2:80", "data_centre": "d"}]}],
  "workspaces": [{"name": "w", "keys": ["a-long-key"]}],
}`

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestFileGivesTableAndBackends(t *testing.T) {
	path := filepath.Join(t.TempDir(), "table.jsonc")
	write(t, path, validFile)
	batch, err := Tables(path).List(t.Context())
	if err != nil || len(batch.Entries) != 1 {
		t.Fatalf("got %+v, %v; want one table", batch, err)
	}
	table, err := DecodeTable(batch.Entries[0].Name, batch.Entries[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	checkTable(t, table)
	batch, err = Backends(path).List(t.Context())
	if err != nil || len(batch.Entries) != 2 {
		t.Fatalf("got %+v, %v; want two backend servers", batch, err)
	}
	entry, err := DecodeBackend(batch.Entries[1].Name, batch.Entries[1].Value)
	if err != nil || entry.ID != "b2" || entry.Pool != "p" || entry.Address != "10.0.0.2:80" {
		t.Errorf("got %+v, %v", entry, err)
	}
}

func checkTable(t *testing.T, table *routing.Table) {
	t.Helper()
	r := table.Route("a.example", "/x/y")
	if r == nil || r.Kind != routing.KindStream || !r.MayRepeat() || r.Timeout != 8*time.Second || r.ChoosePool(0) != "p" {
		t.Errorf("got route %+v", r)
	}
	if table.Version != 3 || table.Limits.IdleTimeout != 15*time.Second || table.Workspace("a-long-key") == nil {
		t.Errorf("got table %+v", table)
	}
}

func TestWatchGivesTheChangedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "table.jsonc")
	write(t, path, validFile)
	feed := Tables(path)
	first, err := feed.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(validFile, `"version": 3`, `"version": 4`, 1)
	time.AfterFunc(50*time.Millisecond, func() { write(t, path, changed) })
	second, err := feed.Watch(t.Context(), first.Position(), 5*time.Second)
	if err != nil || second.Revision <= first.Revision {
		t.Fatalf("got %+v, %v; want the changed file at a higher revision", second, err)
	}
	table, err := DecodeTable(path, second.Entries[0].Value)
	if err != nil || table.Version != 4 {
		t.Errorf("got %+v, %v; want version 4", table, err)
	}
}

func TestAllErrorsOfAnInvalidFileAreListed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "table.jsonc")
	bad := strings.NewReplacer(`"/x/"`, `"x"`, `"stream"`, `"dance"`, `"version": 3`, `"version": 0`)
	write(t, path, bad.Replace(validFile))
	_, err := Tables(path).List(t.Context())
	var errs jsonfile.ValidationErrors
	if !errors.As(err, &errs) || len(errs) != 3 || !slipwick.IsKind(err, slipwick.KindInvalidConfiguration) {
		t.Errorf("got %v, want three errors", err)
	}
	write(t, path, strings.Replace(validFile, `{"pool": "p"}`, `{"pool": "q"}`, 1))
	if _, err := Tables(path).List(t.Context()); err == nil || !strings.Contains(err.Error(), "no pool q") {
		t.Errorf("got %v, want the missing pool named", err)
	}
}

// TestOnlyAMissingListOfWorkspacesNeedsNoKeys guards against a file whose last workspace was removed and that lets
// every request in.
func TestOnlyAMissingListOfWorkspacesNeedsNoKeys(t *testing.T) {
	list := `"workspaces": [{"name": "w", "keys": ["a-long-key"]}],`
	for replacement, want := range map[string]bool{
		``:                               true,
		`"workspaces": [],`:              false,
		`"workspaces": [{"name": "w"}],`: false,
		`"workspaces": [{"name": "w", "keys": []}],`: false,
		list: false,
	} {
		file, err := Parse("table.jsonc", []byte(strings.Replace(validFile, list, replacement, 1)))
		if err != nil {
			t.Errorf("%s: %v", replacement, err)
			continue
		}
		if got := file.Table().AllowAnonymous; got != want {
			t.Errorf("%s: got that requests need no key %t, want %t", replacement, got, want)
		}
	}
	null := strings.Replace(validFile, list, `"workspaces": null,`, 1)
	if file, err := Parse("table.jsonc", []byte(null)); err == nil {
		t.Errorf("null in place of the list: got %+v, want an error", file.Workspaces)
	}
}
