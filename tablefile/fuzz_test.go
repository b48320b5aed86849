package tablefile

import "testing"

// FuzzParse checks that no file makes the parser panic, and that all backend servers of a file
// that it accepts have an ID and an address.
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
		for _, entry := range file.Backends() {
			if entry.ID == "" || entry.Address == "" {
				t.Errorf("got a backend server without ID or address: %+v", entry)
			}
		}
	})
}
