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

// extensions of the files that ReadPath takes from a folder.
var extensions = []string{".json", ".jsonc", ".hujson"}

// source is one file with what it declares.
type source struct {
	document *jsonfile.Document
	state    State
}

// ReadPath reads a file, or all JSON files of a folder, as one state. The
// error is jsonfile.Mistakes when the files could be read but not accepted.
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

func filesIn(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	var files []string
	for _, entry := range entries {
		if !entry.IsDir() && slices.Contains(extensions, filepath.Ext(entry.Name())) {
			files = append(files, filepath.Join(folder, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, errors.Errorf("no %s files in %s; name a folder that holds the configuration",
			strings.Join(extensions, ", "), folder)
	}
	return files, nil
}

// Read joins the files, by name and content, into one state and checks it.
func Read(contents map[string][]byte) (State, error) {
	var mistakes jsonfile.Mistakes
	var sources []source
	var state State
	for _, file := range sortedKeys(contents) {
		document, err := jsonfile.Parse(file, contents[file])
		if err != nil {
			mistakes = append(mistakes, asMistakes(err)...)
			continue
		}
		part := source{
			document: document,
		}
		mistakes = append(mistakes, document.Decode(&part.state)...)
		sources = append(sources, part)
		state.Workspaces = append(state.Workspaces, part.state.Workspaces...)
		state.Pools = append(state.Pools, part.state.Pools...)
		state.Rules = append(state.Rules, part.state.Rules...)
	}
	if len(mistakes) == 0 {
		mistakes = checkReferences(sources, &state)
	}
	if len(mistakes) > 0 {
		return State{}, mistakes
	}
	return state, nil
}

func asMistakes(err error) jsonfile.Mistakes {
	var mistakes jsonfile.Mistakes
	if errors.As(err, &mistakes) {
		return mistakes
	}
	return jsonfile.Mistakes{
		{
			Message: fmt.Sprint(err),
			Remedy:  "mend the file",
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
