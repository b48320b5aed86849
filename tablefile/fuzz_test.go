package tablefile

import "testing"

// FuzzParse checks that no file breaks the reader, and that one it takes names servers
// that can be sent to.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":7,"pools":[{"name":"p","backends":[{"id":"a","address":"10.0.0.1:80","data_centre":"d"}]}],
		"routes":[{"name":"r","host":"h","prefix":"/","kind":"single","timeout":"1s","max_attempts":1,
		"targets":[{"pool":"p"}]}]}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		file, err := Parse("table.jsonc", source)
		if err != nil {
			return
		}
		_ = file.Table()
		for _, listed := range file.Backends() {
			if listed.ID == "" || listed.Address == "" {
				t.Errorf("got a server of nonsense: %+v", listed)
			}
		}
	})
}
