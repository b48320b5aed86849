package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/sse"
)

// charsPerToken is the assumed length of a token.
const charsPerToken = 4

// activeResponse is a response in progress. The engine keeps it for resumeWindow
// after its end, so that it can be resumed.
type activeResponse struct {
	id           string
	chat         string
	model        string
	digest       string
	promptTokens int

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	events   [][]byte
	complete bool
	changed  chan struct{}
}

func newActiveResponse(id string, request *chat.Request, identity string) *activeResponse {
	length := 0
	for _, m := range request.Messages {
		length += len(m.Content)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &activeResponse{
		id:           id,
		chat:         request.Identity(identity),
		model:        request.Model,
		digest:       Digest(string(request.Messages[len(request.Messages)-1].Content)),
		promptTokens: 1 + length/charsPerToken,
		ctx:          ctx,
		cancel:       cancel,
		changed:      make(chan struct{}),
	}
}

// Digest returns the first word of a stand-in's response to a request: a hash of
// the JSON content of the request's last message. A caller checks by it that a
// response belongs to its request.
func Digest(content string) string {
	return strconv.FormatUint(xxhash.Sum64String(content), 16)
}

// appendToken adds the i-th word of the response.
func (a *activeResponse) appendToken(i int) {
	word := a.digest
	if i > 0 {
		word = fmt.Sprintf(" w%d", i)
	}
	a.append(chat.Chunk{
		Choices: []chat.ChunkChoice{
			{
				Delta: chat.Delta{
					Role:    "assistant",
					Content: word,
				},
			},
		},
	})
}

// usage is the part of an OpenAI usage record that the stand-in fills in.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// finish adds the last chunk, with the usage, and marks the response complete.
func (a *activeResponse) finish(cached, tokens int) {
	reason := "stop"
	encoded, _ := json.Marshal(usage{
		PromptTokens:     a.promptTokens,
		CompletionTokens: tokens,
		TotalTokens:      a.promptTokens + tokens,
		Details: promptDetails{
			CachedTokens: cached,
		},
	})
	a.append(chat.Chunk{
		Choices: []chat.ChunkChoice{
			{
				FinishReason: &reason,
			},
		},
		Usage: encoded,
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete = true
	a.wakeLocked()
}

func (a *activeResponse) append(chunk chat.Chunk) {
	chunk.ID, chunk.Object, chunk.Model = a.id, "chat.completion.chunk", a.model
	encoded, _ := json.Marshal(chunk)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, encoded)
	a.wakeLocked()
}

// wakeLocked wakes the connections that wait for events; a.mu is held.
func (a *activeResponse) wakeLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// event returns the event at offset. If there is none yet, it returns a channel
// that is closed when the response changes. end reports that the response is
// complete and that offset follows its last event.
func (a *activeResponse) event(offset int) (data []byte, end bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < len(a.events) {
		return a.events[offset], false, nil
	}
	return nil, a.complete && offset == len(a.events), a.changed
}

// send writes the response's events from offset on to a connection, with the
// faults, and blocks until the response or the connection ends.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, a *activeResponse, offset int, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	sent := 0
	for {
		data, end, changed := a.event(offset)
		switch {
		case end:
			writeEvent(w, engine.EventID(a.id, offset), engine.EndMarker)
			return
		case data == nil:
			select {
			case <-changed:
			case <-a.ctx.Done():
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			}
			continue
		case faults.CutAfter > 0 && sent >= faults.CutAfter:
			panic(http.ErrAbortHandler)
		}
		if faults.SkipEvent && offset == 1 {
			// The second event is left out, and sent only if the caller resumes.
			offset++
			continue
		}
		if faults.StrayEvent && offset == 1 {
			writeEvent(w, engine.EventID("another", offset), "{}")
		}
		writeEvent(w, engine.EventID(a.id, offset), string(data))
		if faults.DuplicateEvents {
			writeEvent(w, engine.EventID(a.id, offset), string(data))
		}
		offset++
		sent++
	}
}

func writeEvent(w http.ResponseWriter, id, data string) {
	_ = sse.Write(w, sse.Event{
		ID:   id,
		Data: []byte(data),
	})
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
