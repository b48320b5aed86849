package chat

import "encoding/json"

// Completion is a complete response that is not streamed.
type Completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// Choice is one of the alternative messages of a Completion.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

// Message is the message of a Choice.
type Message struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	Refusal   string     `json:"refusal,omitempty"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// Add merges a chunk, as JSON, into the completion. The error is that of json.Unmarshal.
func (c *Completion) Add(data []byte) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	c.ID, c.Created, c.Model = chunk.ID, chunk.Created, chunk.Model
	c.Object = "chat.completion"
	if len(chunk.Usage) > 0 {
		c.Usage = chunk.Usage
	}
	for _, part := range chunk.Choices {
		c.choice(part.Index).add(part)
	}
	return nil
}

// choice returns the choice with the index. If the completion has none yet, choice adds it.
func (c *Completion) choice(index int) *Choice {
	for i := range c.Choices {
		if c.Choices[i].Index == index {
			return &c.Choices[i]
		}
	}
	c.Choices = append(c.Choices, Choice{
		Index: index,
	})
	return &c.Choices[len(c.Choices)-1]
}

func (c *Choice) add(part ChunkChoice) {
	if part.Delta.Role != "" {
		c.Message.Role = part.Delta.Role
	}
	c.Message.Content += part.Delta.Content
	c.Message.Refusal += part.Delta.Refusal
	for _, call := range part.Delta.ToolCalls {
		c.Message.addToolCall(call)
	}
	if part.FinishReason != nil {
		c.FinishReason = part.FinishReason
	}
}

// addToolCall merges a part of a tool call into the call with the same index, or adds it as a new call.
func (m *Message) addToolCall(part ToolCall) {
	for i := range m.ToolCalls {
		call := &m.ToolCalls[i]
		if call.Index == part.Index {
			call.Function.Name += part.Function.Name
			call.Function.Arguments += part.Function.Arguments
			return
		}
	}
	m.ToolCalls = append(m.ToolCalls, part)
}
