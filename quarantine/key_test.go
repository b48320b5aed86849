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

// TestKeysOfPartsAndRequestsDiffer guards against a part that counts as a request, and against a part
// whose crashes in one pool count in another, which may run another model.
func TestKeysOfPartsAndRequestsDiffer(t *testing.T) {
	for i := range uint64(100) {
		request, part := KeyOf("w", "POST", "/", []byte{byte(i)}), PartKey("p", i)
		if request.IsPart() || !part.IsPart() {
			t.Fatalf("got request %v a part: %t, part %v a part: %t, want false and true",
				request, request.IsPart(), part, part.IsPart())
		}
		if other := PartKey("q", i); other == part {
			t.Fatalf("part %d: got the same key %v in two pools, want two", i, part)
		}
	}
}
