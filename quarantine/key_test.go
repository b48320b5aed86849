package quarantine

import "testing"

// TestKeyOfDistinguishesRequests compares requests that differ in one field, or that split the same
// bytes differently between the fields.
func TestKeyOfDistinguishesRequests(t *testing.T) {
	type request struct {
		workspace, method, target, body string
	}
	keys := make(map[Key]request)
	for _, r := range []request{
		{"w", "POST", "/a", "body"},
		{"v", "POST", "/a", "body"},
		{"w", "PUT", "/a", "body"},
		{"w", "POST", "/ab", "body"},
		{"w", "POST", "/a", "bodies"},
		{"w", "POST", "/a", ""},
		{"", "wPOST", "/a", "body"},
		{"wP", "OST", "/a", "body"},
		{"w", "POST", "/ab", "ody"},
		{"w", "POST", "/", "abody"},
	} {
		key := KeyOf(r.workspace, r.method, r.target, []byte(r.body))
		if other, isKnown := keys[key]; isKnown {
			t.Errorf("got one key for %q and %q, want two", r, other)
		}
		keys[key] = r
		if again := KeyOf(r.workspace, r.method, r.target, []byte(r.body)); again != key {
			t.Errorf("%q: got keys %v and %v, want the same", r, key, again)
		}
	}
}
