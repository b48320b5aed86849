package claims

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the random schedules unless the command line chooses others:
// go test ./claims -run Schedules -rapid.seed 2 -rapid.checks 100000
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     "1000",
		"rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
