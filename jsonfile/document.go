package jsonfile

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// rootPath stands for the whole document in errors, as its JSON pointer is empty.
const rootPath = "/"

// Document is a parsed file.
type Document struct {
	// File is the name of the document in errors.
	File string

	source []byte
	root   hujson.Value
}

// syntaxLine matches the line number in hujson's message for malformed input.
var syntaxLine = regexp.MustCompile(`line (\d+)`)

// Parse parses the source. The error, if any, is ValidationErrors.
func Parse(file string, source []byte) (*Document, error) {
	root, err := hujson.Parse(source)
	if err == nil {
		return &Document{
			File:   file,
			source: source,
			root:   root,
		}, nil
	}
	line := 0
	if found := syntaxLine.FindStringSubmatch(err.Error()); found != nil {
		line, _ = strconv.Atoi(found[1])
	}
	return nil, ValidationErrors{
		{
			File:    file,
			Line:    line,
			Path:    rootPath,
			Message: "not JSON with comments: " + err.Error(),
			Remedy:  "correct the syntax there",
		},
	}
}

// Decode decodes the document into target, a pointer to a struct, and returns all
// errors: unknown fields, duplicate fields and wrong types, or, if there are none
// of these, values that violate the validate tags.
func (d *Document) Decode(target any) ValidationErrors {
	errs := d.checkTypes(target)
	if len(errs) > 0 {
		return errs
	}
	standard := d.root.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), target); err != nil {
		return ValidationErrors{d.ErrorAt("", err.Error(), "correct the value")}
	}
	return d.checkValues(target)
}

// ErrorAt returns a validation error at the JSON pointer, with the line of the value there.
func (d *Document) ErrorAt(pointer, message, remedy string) ValidationError {
	path := pointer
	if path == "" {
		path = rootPath
	}
	return ValidationError{
		File:    d.File,
		Line:    d.Line(pointer),
		Path:    path,
		Message: message,
		Remedy:  remedy,
	}
}

// Line returns the line of the value at the JSON pointer, or of the closest
// enclosing value that exists.
func (d *Document) Line(pointer string) int {
	for {
		if found := d.root.Find(pointer); found != nil {
			offset := min(found.StartOffset, len(d.source))
			return 1 + bytes.Count(d.source[:offset], []byte("\n"))
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 0
		}
		pointer = pointer[:cut]
	}
}
