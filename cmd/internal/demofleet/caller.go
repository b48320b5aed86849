package demofleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/sse"
	"github.com/slipwick/slipwick/standin"
)

// maxHistoryMessages is how many messages of a chat are sent besides the first.
const maxHistoryMessages = 20

// caller sends the requests of one chat, one in each burst, to the routers that
// the platform's load balancer would choose.
type caller struct {
	world    *world
	random   *rand.Rand
	name     string
	turn     int
	messages []textMessage
	stats    callerStats
}

type textMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// requestBody is the JSON body of a request for a chat completion.
type requestBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []textMessage `json:"messages"`
}

func newCaller(w *world, random *rand.Rand, index int) *caller {
	return &caller{
		world:  w,
		random: random,
		name:   fmt.Sprintf("chat-%05d", index),
		messages: []textMessage{
			{
				Role:    "system",
				Content: "You draft minutes.",
			},
		},
		stats: callerStats{
			notRepeatable: make(map[string]bool),
		},
	}
}

// run sends one request in each burst until ctx ends, and returns the counts.
func (c *caller) run(ctx context.Context) callerStats {
	for burst := 0; ; burst++ {
		start := c.world.started.Add(time.Duration(burst) * burstInterval)
		offset := time.Duration(c.random.Int64N(int64(time.Second)))
		select {
		case <-ctx.Done():
			return c.stats
		case <-time.After(time.Until(start.Add(offset))):
		}
		c.nextTurn(ctx)
	}
}

// nextTurn sends the chat's next request. A request that was not run is sent
// again, up to four times in all.
func (c *caller) nextTurn(ctx context.Context) {
	const maxAttempts = 4
	c.turn++
	question := fmt.Sprintf("%s turn %d", c.name, c.turn)
	c.messages = append(c.messages, textMessage{
		Role:    "user",
		Content: question,
	})
	repeatable := c.random.IntN(2) == 0
	if !repeatable {
		c.stats.notRepeatable[standin.Digest(jsonString(question))] = true
	}
	for range maxAttempts {
		// A request that is in progress when ctx ends is completed.
		answer, outcome, retryAfter := c.send(context.WithoutCancel(ctx), question, repeatable)
		c.stats.countOutcome(outcome)
		if outcome == slipwick.OutcomeCompleted {
			c.addAnswer(answer)
		}
		if outcome != slipwick.OutcomeNotRun {
			return
		}
		time.Sleep(retryAfter)
	}
}

// addAnswer adds an answer to the chat's history. It drops the oldest messages
// above the limit, but not the first, the system message.
func (c *caller) addAnswer(answer string) {
	c.messages = append(c.messages, textMessage{
		Role:    "assistant",
		Content: answer,
	})
	if len(c.messages) > maxHistoryMessages {
		c.messages = append(c.messages[:1:1], c.messages[len(c.messages)-maxHistoryMessages:]...)
	}
}

// send sends a request once. It checks that the answer is complete and belongs to
// the request, and returns how long to wait before the request is sent again.
func (c *caller) send(
	ctx context.Context, question string, repeatable bool,
) (answer string, outcome slipwick.Outcome, retryAfter time.Duration) {
	const timeout, minRetryDelay = 30 * time.Second, 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.post(ctx, repeatable)
	if err != nil {
		// The connection to the router was refused or broke.
		return "", outcomeOfError(err), minRetryDelay
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		retryAfter, _ = time.ParseDuration(response.Header.Get("Retry-After") + "s")
		return "", slipwick.Outcome(response.Header.Get(slipwick.OutcomeHeader)), max(retryAfter, minRetryDelay)
	}
	answer, complete := c.readAnswer(response.Body)
	outcome = slipwick.Outcome(response.Trailer.Get(slipwick.OutcomeHeader))
	switch {
	case outcome == "":
		return "", slipwick.OutcomeUnknown, 0
	case outcome != slipwick.OutcomeCompleted:
		return "", outcome, 0
	case !complete || !strings.HasPrefix(answer, standin.Digest(jsonString(question))):
		c.stats.mismatched++
	}
	return answer, outcome, 0
}

// outcomeOfError returns the outcome of a request that got no response: not run
// if the connection was refused, else unknown.
func outcomeOfError(err error) slipwick.Outcome {
	if strings.Contains(errors.Cause(err).Error(), "connection refused") {
		return slipwick.OutcomeNotRun
	}
	return slipwick.OutcomeUnknown
}

func (c *caller) post(ctx context.Context, repeatable bool) (*http.Response, error) {
	body, err := json.Marshal(requestBody{
		Model:    model,
		Stream:   true,
		Messages: c.messages,
	})
	if err != nil {
		return nil, err
	}
	url := "http://" + c.world.pickRouter(c.random) + engine.CompletionsPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(chat.IdentityHeader, c.name)
	request.Header.Set("Slipwick-Repeatable", fmt.Sprint(repeatable))
	return c.world.client.Do(request)
}

// readAnswer reads a streamed answer. complete reports whether its end marker arrived.
func (c *caller) readAnswer(body io.Reader) (answer string, complete bool) {
	reader := sse.NewReader(bufio.NewReader(body))
	var completion chat.Completion
	for {
		event, err := reader.Next()
		if err != nil {
			break
		}
		complete = string(event.Data) == engine.EndMarker
		if !complete && completion.Add(event.Data) != nil {
			return "", false
		}
	}
	if len(completion.Choices) == 0 {
		return "", false
	}
	c.stats.countReturn(completion.Usage, c.turn)
	return completion.Choices[0].Message.Content, complete
}

// jsonString returns the text as a JSON string.
func jsonString(text string) string {
	encoded, _ := json.Marshal(text)
	return string(encoded)
}

// pickRouter returns the address of a random ready router, as the platform's load
// balancer does, or of any router if none is ready.
func (w *world) pickRouter(random *rand.Rand) string {
	first := random.IntN(len(w.routers))
	for i := range w.routers {
		router := w.routers[(first+i)%len(w.routers)]
		if router.CurrentStatus().Ready {
			return router.CallersAddress()
		}
	}
	return w.routers[first].CallersAddress()
}
