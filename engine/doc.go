// Package engine speaks to model engines: OpenAI-style chat completions with
// server-sent events, and load, cache-event, resume and cancel calls.
// docs/WIRE.md states the protocol.
package engine
