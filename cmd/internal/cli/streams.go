package cli

import (
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// Streams holds the input and output of a command. They are injected so that commands can
// be tested without a terminal.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is set if Out is a terminal.
	Terminal bool
}

// SystemStreams returns the standard streams of the process.
func SystemStreams() Streams {
	return Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: term.IsTerminal(int(os.Stdout.Fd())),
	}
}

// Fail prints the error to Err, after the name of the program, and returns its exit code.
func (s Streams) Fail(program string, err error) int {
	_, _ = fmt.Fprintf(s.Err, "%s: %v\n", program, err)
	return ExitCode(err)
}
