package tablefile

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestEvacuatedDataCentresAreChangedInTheFile guards against an evacuation whose start or end in the
// file is missing in the feed, or removes the file's comments.
func TestEvacuatedDataCentresAreChangedInTheFile(t *testing.T) {
	evacuated, err := SetEvacuated("table", []byte(validFile), "d", true)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(evacuated), "// A comment.") {
		t.Error("got a file without its comment, want the comment kept")
	}
	path := filepath.Join(t.TempDir(), "table.jsonc")
	write(t, path, string(evacuated))
	feed := Evacuations(path)
	if got := evacuatedOf(t, feed); !slices.Equal(got, []string{"d"}) {
		t.Errorf("got %v evacuated, want d", got)
	}
	again, err := SetEvacuated("table", evacuated, "d", true)
	if err != nil || string(again) != string(evacuated) {
		t.Errorf("got a change, %v; want none for a data centre that is evacuated already", err)
	}
	ended, err := SetEvacuated("table", evacuated, "d", false)
	if err != nil {
		t.Fatal(err)
	}
	write(t, path, string(ended))
	if got := evacuatedOf(t, feed); len(got) != 0 {
		t.Errorf("got %v evacuated after the end, want none", got)
	}
}

func evacuatedOf(t *testing.T, feed *Feed) []string {
	t.Helper()
	batch, err := feed.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range batch.Entries {
		name, err := DecodeEvacuation(e.Name, e.Value)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, name)
	}
	return names
}

func TestUnknownDataCentreIsNotEvacuated(t *testing.T) {
	_, err := SetEvacuated("table", []byte(validFile), "elsewhere", true)
	if err == nil || !strings.Contains(err.Error(), "elsewhere") {
		t.Errorf("got %v, want an error that names the data centre", err)
	}
}
