package jsonfile

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

type entry struct {
	Name string   `json:"name" validate:"required"`
	Wait Duration `json:"wait"`
}

type file struct {
	Size    int     `json:"size" validate:"min=1"`
	Entries []entry `json:"entries" validate:"unique=Name,dive"`
}

func TestDecodeReadsComments(t *testing.T) {
	document, err := Parse("f.jsonc", []byte(`{
		// the size
		"size": 3,
		"entries": [{"name": "a", "wait": "2s"},],
	}`))
	if err != nil {
		t.Fatal(err)
	}
	var got file
	if errs := document.Decode(&got); len(errs) > 0 {
		t.Fatal(errs)
	}
	if got.Size != 3 || got.Entries[0].Wait.Or(0) != 2*time.Second {
		t.Errorf("got %+v, want size 3 and a wait of 2s", got)
	}
}

func TestDecodeListsEveryError(t *testing.T) {
	for _, tc := range []struct {
		name   string
		source string
		want   []string
	}{
		{
			name:   "fields and types",
			source: "{\n\"sizes\": 3,\n\"entries\": [{\"name\": 4}, 7,\n{\"wait\": \"soon\", \"x\": 1}]}",
			want:   []string{"2 /sizes", "3 /entries/0/name", "3 /entries/1", "4 /entries/2/wait", "4 /entries/2/x"},
		},
		{
			name:   "values",
			source: "{\n\"size\": 0,\n\"entries\": [\n{\"name\": \"\"}]}",
			want:   []string{"2 /size", "4 /entries/0/name"},
		},
		{
			name:   "duplicate field",
			source: "{\"size\": 1,\n\"size\": 2}",
			want:   []string{"1 /size"},
		},
		{
			name:   "unique",
			source: "{\"size\": 1,\n\"entries\": [{\"name\": \"a\"}, {\"name\": \"a\"}]}",
			want:   []string{"2 /entries"},
		},
	} {
		document, err := Parse("f", []byte(tc.source))
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, m := range document.Decode(&file{}) {
			got = append(got, string(rune('0'+m.Line))+" "+m.Path)
			if m.Remedy == "" {
				t.Errorf("%s: %s has no remedy", tc.name, m.Path)
			}
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestParseGivesTheLineOfBrokenSyntax(t *testing.T) {
	_, err := Parse("f", []byte("{\n\"size\": }"))
	var errs ValidationErrors
	if !errors.As(err, &errs) || len(errs) != 1 || errs[0].Line != 2 {
		t.Errorf("got %v, want one error on line 2", err)
	}
}

// TestPathsOfMapEntriesAreExact guards against errors that name a place, and so a line, which the document doesn't
// have, because a key of a map contains characters that separate the parts of a path.
func TestPathsOfMapEntriesAreExact(t *testing.T) {
	type mapFile struct {
		Entries map[string]entry   `json:"entries" validate:"dive"`
		Lists   map[string][]entry `json:"lists" validate:"dive,dive"`
	}
	document, err := Parse("f", []byte("{\"entries\": {\n"+
		"\"a.b\": {\"name\": \"\"},\n"+
		"\"a/b~\": {\"name\": \"\"},\n"+
		"\"a[1]b\": {\"name\": \"\"}},\n"+
		"\"lists\": {\"x.y\": [{\"name\": \"a\"},\n{\"name\": \"\"}]}}"))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, m := range document.Decode(&mapFile{}) {
		got = append(got, string(rune('0'+m.Line))+" "+m.Path)
	}
	slices.Sort(got)
	want := []string{"2 /entries/a.b/name", "3 /entries/a~1b~0/name", "4 /entries/a[1]b/name", "6 /lists/x.y/1/name"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestWholeNumberIsNoDuration guards against a remedy that suggests a duration for a number, which is refused again.
func TestWholeNumberIsNoDuration(t *testing.T) {
	type limits struct {
		Bytes int64    `json:"bytes"`
		Wait  Duration `json:"wait"`
	}
	document, err := Parse("f", []byte(`{"bytes": "1s", "wait": "soon"}`))
	if err != nil {
		t.Fatal(err)
	}
	errs := document.Decode(&limits{})
	if len(errs) != 2 {
		t.Fatalf("got %v, want an error for each field", errs)
	}
	if got := errs[0].Remedy; got != "write a whole number" {
		t.Errorf("got the remedy %q for a number, want a whole number", got)
	}
	if got := errs[1].Remedy; !strings.Contains(got, "duration") {
		t.Errorf("got the remedy %q for a duration", got)
	}
}
