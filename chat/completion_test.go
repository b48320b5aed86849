package chat

import "testing"

func TestCompletionJoinsChunks(t *testing.T) {
	var got Completion
	for _, chunk := range []string{
		`{"id":"1","choices":[{"index":0,"delta":{"role":"assistant","content":"a"}}]}`,
		`{"id":"1","choices":[{"index":1,"delta":{"content":"x"}},{"index":0,"delta":{"content":"b"}}]}`,
		`{"id":"1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t","function":{"name":"f"}}]}}]}`,
		`{"id":"1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{}"}}]}}]}`,
		`{"id":"1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"total_tokens":3}}`,
	} {
		if err := got.Add([]byte(chunk)); err != nil {
			t.Fatal(err)
		}
	}
	message := got.Choices[0].Message
	arguments, second := message.ToolCalls[0].Function.Arguments, got.Choices[1].Message.Content
	if message.Content != "ab" || arguments != "{}" || second != "x" {
		t.Errorf("got %+v, want the chunks joined by choice and call", got)
	}
	if *got.Choices[0].FinishReason != "stop" || string(got.Usage) != `{"total_tokens":3}` {
		t.Errorf("got %+v, want finish reason and usage", got)
	}
}
