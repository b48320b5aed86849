package chat

import (
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/slipwick/slipwick"
)

// IdentityHeader names the chat that a request belongs to.
const IdentityHeader = "Slipwick-Chat"

// Request is what routing needs of a chat request's body.
type Request struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
	// CacheKey is the OpenAI field by which callers may name a chat.
	CacheKey string `json:"prompt_cache_key"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse reads a body. The error is an *Error of KindInvalidRequest.
func Parse(body []byte) (*Request, error) {
	request := &Request{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, invalid("the body is no JSON chat request", err)
	}
	if request.Model == "" {
		return nil, invalid("the body names no model", nil)
	}
	if len(request.Messages) == 0 {
		return nil, invalid("the body has no messages", nil)
	}
	return request, nil
}

func invalid(message string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindInvalidRequest,
		Message: message,
		Remedy:  "send a chat completion request with model and messages",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// Identity names the chat: the header's value or the body's cache key, else a
// hash of the messages up to the first one by the user, which stay the same
// through all turns of a chat.
func (r *Request) Identity(header string) string {
	switch {
	case header != "":
		return header
	case r.CacheKey != "":
		return r.CacheKey
	}
	digest := xxhash.New()
	for _, m := range r.Messages {
		_, _ = digest.WriteString(m.Role)
		_, _ = digest.Write(m.Content)
		if m.Role == "user" {
			break
		}
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Streamed gives the body with streaming and the usage chunk asked for.
func Streamed(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, invalid("the body is no JSON object", err)
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}
