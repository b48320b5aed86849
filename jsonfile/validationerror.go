package jsonfile

import (
	"fmt"
	"strings"
)

// ValidationError is one error in a file, with its place and what to do about it.
type ValidationError struct {
	File string `json:"file"`
	// Line counts from 1; it is 0 if the line is not known.
	Line int `json:"line"`
	// Path is the JSON pointer of the value.
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the error on one line: FILE:LINE: PATH: MESSAGE; REMEDY.
func (e ValidationError) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", e.File, e.Line, e.Path, e.Message, e.Remedy)
}

// ValidationErrors is an error that lists all errors of one or more files.
type ValidationErrors []ValidationError

// Error returns one line for each error.
func (e ValidationErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, validationError := range e {
		lines = append(lines, validationError.String())
	}
	return strings.Join(lines, "\n")
}
