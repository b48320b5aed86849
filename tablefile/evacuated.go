package tablefile

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// evacuatedPointer is the JSON pointer of the file's list of evacuated data centres.
const evacuatedPointer = "/evacuated"

// SetEvacuated returns the source of a table file with a data centre added to the list of evacuated
// ones or removed from it. Comments are kept; if nothing changes, the source is returned as it
// is. Error messages call the file by the name. The error is jsonfile.ValidationErrors for an invalid
// file.
// A data centre without backend servers can't be evacuated.
func SetEvacuated(name string, source []byte, dataCentre string, evacuated bool) ([]byte, error) {
	file, err := Parse(name, source)
	if err != nil {
		return nil, err
	}
	if evacuated && !file.hasDataCentre(dataCentre) {
		return nil, errors.Errorf("no backend server in %s is in data centre %s; name a data centre of the file",
			name, dataCentre)
	}
	if slices.Contains(file.Evacuated, dataCentre) == evacuated {
		return source, nil
	}
	list := slices.DeleteFunc(slices.Clone(file.Evacuated), func(known string) bool { return known == dataCentre })
	if evacuated {
		list = append(list, dataCentre)
	}
	if list == nil {
		list = []string{}
	}
	return replaceEvacuated(source, list)
}

// hasDataCentre reports whether any backend server of the file is in the data centre.
func (f *File) hasDataCentre(name string) bool {
	for _, entry := range f.Backends() {
		if entry.DataCentre == name {
			return true
		}
	}
	return false
}

// replaceEvacuated returns the source with the list in place of its list of evacuated data centres.
func replaceEvacuated(source []byte, list []string) ([]byte, error) {
	value, err := hujson.Parse(slices.Clone(source))
	if err != nil {
		return nil, errors.Wrap(err, "parse the table file")
	}
	patch, err := json.Marshal([]map[string]any{
		{
			"op":    "add",
			"path":  evacuatedPointer,
			"value": list,
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the evacuated data centres")
	}
	if err := value.Patch(patch); err != nil {
		return nil, errors.Wrap(err, "patch the table file")
	}
	return value.Pack(), nil
}
