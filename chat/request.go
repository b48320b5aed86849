package chat

import (
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/slipwick/slipwick"
)

// IdentityHeader is the request header that identifies the chat of a request.
const IdentityHeader = "Slipwick-Chat"

// Request holds the fields of a chat request's body that routing needs.
type Request struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []message `json:"messages"`
	// CacheKey is the OpenAI field with which callers may identify a chat.
	CacheKey string `json:"prompt_cache_key"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse parses a request body. The error is a *slipwick.Error of KindInvalidRequest with
// OutcomeNotRun.
func Parse(body []byte) (*Request, error) {
	request := &Request{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, invalidRequestError("the body is not a JSON chat request", err)
	}
	if request.Model == "" {
		return nil, invalidRequestError("the body has no model", nil)
	}
	if len(request.Messages) == 0 {
		return nil, invalidRequestError("the body has no messages", nil)
	}
	return request, nil
}

func invalidRequestError(message string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindInvalidRequest,
		Message: message,
		Remedy:  "send a chat completion request with a model and messages",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// Identity returns the identity of the chat: the value of IdentityHeader, else the body's cache
// key, else a hash of the messages up to the first user message. These messages are the same in
// all turns of a chat.
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

// EnableStreaming returns the body with streaming enabled, including a last chunk with the token
// usage. The error is a *slipwick.Error of KindInvalidRequest if the body is not a JSON object.
func EnableStreaming(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, invalidRequestError("the body is not a JSON object", err)
	}
	if fields == nil {
		return nil, invalidRequestError("the body is null", nil)
	}
	fields["stream"] = json.RawMessage(`true`)
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}
