package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadSettingsListsEveryError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "router.jsonc")
	source := `{
	// no data centre
	"id": "r1",
	"listen": {"callers": "nowhere", "operators": "127.0.0.1:1", "peers": "127.0.0.1:2"},
	"platform": {"url": "not a url"},
	"log": {"level": "loud"}
}`
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadSettings(path)
	if err == nil {
		t.Fatal("got no error, want validation errors")
	}
	for _, want := range []string{
		":1: /data_centre: missing", ":4: /listen/callers:", ":5: /platform/url:", ":6: /log/level:", "HOST:PORT",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want it to contain %q", err, want)
		}
	}
}
