package slipwick

// ChatRequest is one chat turn for an engine.
type ChatRequest struct {
	// ID is unique; every event of the response carries it.
	ID        string
	Workspace string
	Chat      string
	// Priority is that of the workspace, from 0 to 9; higher ones are served first.
	Priority int
	// IdempotencyKey is the caller's idempotency key, for engines that check keys; empty if the
	// caller sent none.
	IdempotencyKey string
	// RunsOnce says that the turn must not run twice.
	RunsOnce bool
	// Body is the OpenAI-style JSON body with streaming enabled.
	Body []byte
}
