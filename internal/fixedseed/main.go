// Package fixedseed runs tests with the same random choices each time, unless
// the command line chooses others.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
)

// runner is a testing.M.
type runner interface {
	Run() int
}

// Main runs a package's tests with rapid's seed fixed and checks random runs
// for each property; it is for TestMain and does not return. The flags
// -rapid.seed and -rapid.checks go before.
func Main(m runner, checks int) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     strconv.Itoa(checks),
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
