package chat

import (
	"encoding/json"
	"testing"

	"github.com/slipwick/slipwick"
)

func TestIdentityIsSameInAllTurns(t *testing.T) {
	first := `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}`
	second := `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},` +
		`{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`
	other := `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"z"}]}`
	identity := func(body, header string) string {
		request, err := Parse([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		return request.Identity(header)
	}
	if got, want := identity(second, ""), identity(first, ""); got != want {
		t.Errorf("got %s for the second turn, want %s", got, want)
	}
	if identity(other, "") == identity(first, "") {
		t.Error("got the same identity for two chats")
	}
	if got := identity(first, "named"); got != "named" {
		t.Errorf("got %s, want the identity of the header", got)
	}
}

// FuzzParse checks that any body is either refused with OutcomeNotRun, or can be converted to a
// streamed request with the same messages.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"stream":false}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := Parse(body)
		if err != nil {
			failure, ok := slipwick.AsError(err)
			if !ok || failure.Outcome != slipwick.OutcomeNotRun {
				t.Fatalf("got %v, want an error with outcome not-run", err)
			}
			return
		}
		streamed, err := EnableStreaming(body)
		if err != nil {
			t.Fatalf("got %v for a body that Parse accepts, want a streamed request", err)
		}
		again, err := Parse(streamed)
		if err != nil || !again.Stream {
			t.Fatalf("got %v, %v, want a streamed request", again, err)
		}
		before, _ := json.Marshal(request.Messages)
		after, _ := json.Marshal(again.Messages)
		if string(before) != string(after) {
			t.Errorf("got messages %s, want %s", after, before)
		}
	})
}

// TestEnableStreamingRefusesNull guards against a panic on a body that is valid JSON, but no object.
func TestEnableStreamingRefusesNull(t *testing.T) {
	for _, body := range []string{"null", "[]", "1"} {
		if _, err := EnableStreaming([]byte(body)); !slipwick.IsKind(err, slipwick.KindInvalidRequest) {
			t.Errorf("%s: got %v, want it refused as invalid", body, err)
		}
	}
}
