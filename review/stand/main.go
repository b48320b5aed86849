package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() { os.Exit(run()) }

// run plays the case that the first argument names; the second one is the path of the record.
func run() int {
	cases := map[string]func(*record, bool) (int, error){
		"extra-answer":   extraAnswer,
		"bare-rejection": bareRejection,
		"foreign-entry":  foreignEntry,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: stand CASE RECORD")
		return exitFailed
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	code, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.say("the case couldn't run: %v", err)
		code = exitFailed
	}
	if err := log.close(); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	return code
}
