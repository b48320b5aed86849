// Package engine is the client for model engines: OpenAI-style chat completions streamed as
// server-sent events, and calls to resume or cancel a response and to fetch the load report and
// the cache events. docs/WIRE.md describes the protocol.
package engine
