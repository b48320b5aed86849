// Package fixedseed runs property-based tests of the library pgregory.net/rapid with a fixed random
// seed, unless the command line sets another one.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
)

// runner is implemented by *testing.M.
type runner interface {
	Run() int
}

// Main runs a package's tests with a fixed seed for rapid and the given number of checks of each
// property. A failed check writes no file with the failing case, so that a failing run leaves no files
// in the source tree. Call Main from TestMain; it exits the process. The flags -rapid.seed,
// -rapid.checks and -rapid.nofailfile take precedence if they are set on the command line.
func Main(m runner, checks int) {
	flag.Parse()
	isSet := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     strconv.Itoa(checks),
		"rapid.nofailfile": "true",
	} {
		if isSet[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
