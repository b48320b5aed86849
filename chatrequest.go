package slipwick

// ChatRequest is one chat turn for an engine.
type ChatRequest struct {
	// ID is unique; every event of the answer carries it.
	ID        string
	Workspace string
	Chat      string
	Priority  int
	// Body is the OpenAI-style JSON body, streamed form.
	Body []byte
}
