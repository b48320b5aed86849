package jsonfile

import (
	"fmt"
	"strings"
)

// Mistake is one thing wrong in a file.
type Mistake struct {
	File string `json:"file"`
	// Line counts from 1; 0 when the place is not known.
	Line int `json:"line"`
	// Path is the JSON pointer of the value.
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String gives the mistake on one line, in the form FILE:LINE: PATH: ….
func (m Mistake) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", m.File, m.Line, m.Path, m.Message, m.Remedy)
}

// Mistakes is an error that lists all mistakes.
type Mistakes []Mistake

// Error gives a line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}
