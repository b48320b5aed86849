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

// charsPerToken is the rough length of a token.
const charsPerToken = 4

// answer is one answer in progress, kept so that it can be resumed.
type answer struct {
	id           string
	chat         string
	model        string
	digest       string
	promptTokens int

	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	events  [][]byte
	whole   bool
	changed chan struct{}
}

func newAnswer(id string, request *chat.Request, identity string) *answer {
	length := 0
	for _, m := range request.Messages {
		length += len(m.Content)
	}
	ctx, stop := context.WithCancel(context.Background())
	return &answer{
		id:           id,
		chat:         request.Identity(identity),
		model:        request.Model,
		digest:       Digest(string(request.Messages[len(request.Messages)-1].Content)),
		promptTokens: 1 + length/charsPerToken,
		ctx:          ctx,
		stop:         stop,
		changed:      make(chan struct{}),
	}
}

// Digest is the first word of every stand-in's answer: a hash of the last
// message's JSON content, by which a caller knows the answer for its own.
func Digest(content string) string {
	return strconv.FormatUint(xxhash.Sum64String(content), 16)
}

// token adds the i-th word of the answer.
func (a *answer) token(i int) {
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

// usage is the part of an OpenAI usage record that matters here.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// finish adds the last chunk, with the usage, and the end.
func (a *answer) finish(cached, tokens int) {
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
	a.whole = true
	a.wakeLocked()
}

func (a *answer) append(chunk chat.Chunk) {
	chunk.ID, chunk.Object, chunk.Model = a.id, "chat.completion.chunk", a.model
	encoded, _ := json.Marshal(chunk)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, encoded)
	a.wakeLocked()
}

func (a *answer) wakeLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// at gives the event at offset, or what to wait for; end says that the answer
// is whole and offset just behind its last event.
func (a *answer) at(offset int) (data []byte, end bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < len(a.events) {
		return a.events[offset], false, nil
	}
	return nil, a.whole && offset == len(a.events), a.changed
}

// send writes the answer's events from offset on to one connection.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, a *answer, offset int, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	sent := 0
	for {
		data, end, changed := a.at(offset)
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
		if faults.Swap && offset == 1 {
			// The events that follow come in order again, too late.
			offset++
			continue
		}
		if faults.Foreign && offset == 1 {
			writeEvent(w, engine.EventID("another", offset), "{}")
		}
		writeEvent(w, engine.EventID(a.id, offset), string(data))
		if faults.Repeat {
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
