package configuration

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/jsonfile"
)

// extensions are the extensions of the files that ReadPath reads in a directory.
var extensions = []string{".json", ".jsonc", ".hujson"}

// source is one file and the part of the state that it declares.
type source struct {
	document *jsonfile.Document
	state    State
}

// ReadPath reads a file, or all JSON files of a directory (not of its subdirectories), as
// one state. The error is jsonfile.ValidationErrors if the files can be read but are invalid.
func ReadPath(path string) (State, error) {
	info, err := os.Stat(path)
	if err != nil {
		return State{}, errors.Wrap(err, "read configuration")
	}
	files := []string{path}
	if info.IsDir() {
		if files, err = filesIn(path); err != nil {
			return State{}, err
		}
	}
	contents := make(map[string][]byte, len(files))
	for _, file := range files {
		if contents[file], err = os.ReadFile(file); err != nil {
			return State{}, errors.Wrap(err, "read configuration")
		}
	}
	return Read(contents)
}

func filesIn(directory string) ([]string, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	var files []string
	for _, entry := range entries {
		if !entry.IsDir() && slices.Contains(extensions, filepath.Ext(entry.Name())) {
			files = append(files, filepath.Join(directory, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, errors.Errorf("no %s files in %s; name a directory that holds the configuration",
			strings.Join(extensions, ", "), directory)
	}
	return files, nil
}

// Read merges the files, given as contents by name, into one state and checks it. The
// error is jsonfile.ValidationErrors.
func Read(contents map[string][]byte) (State, error) {
	var errs jsonfile.ValidationErrors
	var sources []source
	var state State
	for _, file := range sortedKeys(contents) {
		document, err := jsonfile.Parse(file, contents[file])
		if err != nil {
			errs = append(errs, asValidationErrors(err)...)
			continue
		}
		part := source{
			document: document,
		}
		errs = append(errs, document.Decode(&part.state)...)
		sources = append(sources, part)
		state.Workspaces = append(state.Workspaces, part.state.Workspaces...)
		state.Pools = append(state.Pools, part.state.Pools...)
		state.Rules = append(state.Rules, part.state.Rules...)
	}
	if len(errs) == 0 {
		errs = checkReferences(sources, &state)
	}
	if len(errs) > 0 {
		return State{}, errs
	}
	return state, nil
}

func asValidationErrors(err error) jsonfile.ValidationErrors {
	var errs jsonfile.ValidationErrors
	if errors.As(err, &errs) {
		return errs
	}
	return jsonfile.ValidationErrors{
		{
			Message: fmt.Sprint(err),
			Remedy:  "correct the file",
		},
	}
}

func sortedKeys(contents map[string][]byte) []string {
	keys := make([]string, 0, len(contents))
	for key := range contents {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
