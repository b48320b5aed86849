package engine

import "testing"

func TestParseEventID(t *testing.T) {
	for _, tc := range []struct {
		id      string
		request string
		offset  int
		ok      bool
	}{
		{
			id:      EventID("a/b", 7),
			request: "a/b",
			offset:  7,
			ok:      true,
		},
		{
			id: "a",
		},
		{
			id:      "a/-1",
			request: "a",
			offset:  -1,
		},
		{
			id:      "a/x",
			request: "a",
		},
	} {
		request, offset, ok := ParseEventID(tc.id)
		if ok != tc.ok || (ok && (request != tc.request || offset != tc.offset)) {
			t.Errorf("%q: got %q %d %v, want %q %d %v", tc.id, request, offset, ok, tc.request, tc.offset, tc.ok)
		}
	}
}
