package events

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

const pagePath = "../../../docs/EVENTS.md"

func TestPageAgreesWithCode(t *testing.T) {
	if *update {
		if err := os.WriteFile(pagePath, []byte(Markdown()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if want := Markdown(); string(got) != want {
		t.Errorf("docs/EVENTS.md differs from the catalogue; run the test with -update")
	}
}

// TestAllListsEveryEvent compares All with the events that the source declares, so that none
// is missing from the page.
func TestAllListsEveryEvent(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if literal, ok := n.(*ast.CompositeLit); ok {
			if name, ok := literal.Type.(*ast.Ident); ok && name.Name == "Event" {
				want++
			}
		}
		return true
	})
	if got := len(All()); got != want {
		t.Errorf("All lists %d events, the source declares %d", got, want)
	}
	last := 0
	for _, e := range All() {
		if e.Number <= last {
			t.Errorf("event %s: got number %d after %d, want ascending numbers", e.Name, e.Number, last)
		}
		last = e.Number
		if e.Meaning == "" || e.Remedy == "" || e.Name != strings.ToLower(e.Name) {
			t.Errorf("event %d lacks a meaning, a remedy or a kebab-case name", e.Number)
		}
	}
}
