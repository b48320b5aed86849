package emulator

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

// keepMessages bounds a chat's history.
const keepMessages = 20

// caller is one chat that returns in bursts, behind the balancer.
type caller struct {
	world    *world
	random   *rand.Rand
	name     string
	turn     int
	messages []textMessage
	tally    tally
}

type textMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type turnBody struct {
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
		tally: tally{
			once: make(map[string]bool),
		},
	}
}

// run sends one turn in each burst until ctx ends.
func (c *caller) run(ctx context.Context) tally {
	for burst := 0; ; burst++ {
		start := c.world.started.Add(time.Duration(burst) * burstEvery)
		within := time.Duration(c.random.Int64N(int64(time.Second)))
		select {
		case <-ctx.Done():
			return c.tally
		case <-time.After(time.Until(start.Add(within))):
		}
		c.next(ctx)
	}
}

// next sends the chat's next turn, at most a few times if it was not run.
func (c *caller) next(ctx context.Context) {
	const tries = 4
	c.turn++
	question := fmt.Sprintf("%s turn %d", c.name, c.turn)
	c.messages = append(c.messages, textMessage{
		Role:    "user",
		Content: question,
	})
	repeatable := c.random.IntN(2) == 0
	if !repeatable {
		c.tally.once[standin.Digest(quoted(question))] = true
	}
	for range tries {
		// A turn that has begun is finished after the callers' time.
		answer, outcome, retryAfter := c.send(context.WithoutCancel(ctx), question, repeatable)
		c.tally.count(outcome)
		if outcome == slipwick.OutcomeCompleted {
			c.remember(answer)
		}
		if outcome != slipwick.OutcomeNotRun {
			return
		}
		time.Sleep(retryAfter)
	}
}

func (c *caller) remember(answer string) {
	c.messages = append(c.messages, textMessage{
		Role:    "assistant",
		Content: answer,
	})
	if len(c.messages) > keepMessages {
		c.messages = append(c.messages[:1:1], c.messages[len(c.messages)-keepMessages:]...)
	}
}

// send makes one call and checks that the answer is whole and its own.
func (c *caller) send(
	ctx context.Context, question string, repeatable bool,
) (answer string, outcome slipwick.Outcome, retryAfter time.Duration) {
	const limit, pause = 30 * time.Second, 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := c.post(ctx, repeatable)
	if err != nil {
		// The balancer's connection was refused or broken.
		return "", outcomeOf(err), pause
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		retryAfter, _ = time.ParseDuration(response.Header.Get("Retry-After") + "s")
		return "", slipwick.Outcome(response.Header.Get(slipwick.OutcomeHeader)), max(retryAfter, pause)
	}
	answer, whole := c.read(response.Body)
	outcome = slipwick.Outcome(response.Trailer.Get(slipwick.OutcomeHeader))
	switch {
	case outcome == "":
		return "", slipwick.OutcomeUnknown, 0
	case outcome != slipwick.OutcomeCompleted:
		return "", outcome, 0
	case !whole || !strings.HasPrefix(answer, standin.Digest(quoted(question))):
		c.tally.mismatched++
	}
	return answer, outcome, 0
}

// outcomeOf is a caller's own knowledge of a call without an answer.
func outcomeOf(err error) slipwick.Outcome {
	if strings.Contains(errors.Cause(err).Error(), "connection refused") {
		return slipwick.OutcomeNotRun
	}
	return slipwick.OutcomeUnknown
}

func (c *caller) post(ctx context.Context, repeatable bool) (*http.Response, error) {
	body, err := json.Marshal(turnBody{
		Model:    model,
		Stream:   true,
		Messages: c.messages,
	})
	if err != nil {
		return nil, err
	}
	url := "http://" + c.world.balance(c.random) + engine.CompletionsPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(chat.IdentityHeader, c.name)
	request.Header.Set("Slipwick-Repeatable", fmt.Sprint(repeatable))
	return c.world.client.Do(request)
}

// read joins the answer; whole says that its end marker came.
func (c *caller) read(body io.Reader) (answer string, whole bool) {
	reader := sse.NewReader(bufio.NewReader(body))
	var completion chat.Completion
	for {
		event, err := reader.Next()
		if err != nil {
			break
		}
		whole = string(event.Data) == engine.EndMarker
		if !whole && completion.Add(event.Data) != nil {
			return "", false
		}
	}
	if len(completion.Choices) == 0 {
		return "", false
	}
	c.tally.cache(completion.Usage, c.turn)
	return completion.Choices[0].Message.Content, whole
}

// quoted is the text as its JSON has it.
func quoted(text string) string {
	encoded, _ := json.Marshal(text)
	return string(encoded)
}

// balance picks a router as the platform's balancer does: a ready one.
func (w *world) balance(random *rand.Rand) string {
	first := random.IntN(len(w.routers))
	for i := range w.routers {
		router := w.routers[(first+i)%len(w.routers)]
		if router.CurrentStatus().Ready {
			return router.CallersAddress()
		}
	}
	return w.routers[first].CallersAddress()
}
