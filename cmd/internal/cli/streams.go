package cli

import (
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// Streams are a command's input and output, injected so that commands are
// tested without a terminal.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal says that Out is one.
	Terminal bool
}

// System gives the streams of the process.
func System() Streams {
	return Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: term.IsTerminal(int(os.Stdout.Fd())),
	}
}

// Fail prints the error and gives its exit code.
func (s Streams) Fail(program string, err error) int {
	_, _ = fmt.Fprintf(s.Err, "%s: %v\n", program, err)
	return ExitCode(err)
}
