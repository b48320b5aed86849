package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
)

// The exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotPlayed
)

var errNotPlayed = errors.New("the case could not be played: requests failed, or none was served")

// init keeps the main goroutine, which starts the gateways, on the first thread: they get their signal when the thread
// that started them ends.
func init() { runtime.LockOSThread() }

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("gateway", "target/slipwickd", "program of the gateway")
	path := flag.String("record", "record.txt", "file of the record")
	hasTrouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	os.Exit(playCase(*name, *program, *path, *hasTrouble))
}

func playCase(name, program, path string, hasTrouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return exitNotPlayed
	}
	broken, err := 0, errNotPlayed
	if c, ok := keyCases[name]; ok {
		broken, err = c.play(program, hasTrouble, rec)
	} else if c, ok := entryCases[name]; ok {
		broken, err = c.play(program, hasTrouble, rec)
	} else if c, ok := readCases[name]; ok {
		broken, err = c.play(program, hasTrouble, rec)
	}
	switch {
	case err != nil:
		rec.add("not played: %v", err)
		fmt.Println(err)
		return exitNotPlayed
	case broken > 0:
		rec.add("the rule was broken by %d requests", broken)
		fmt.Printf("broken by %d requests\n", broken)
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
