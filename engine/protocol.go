package engine

import (
	"strconv"
	"strings"
)

// Paths and headers of the protocol between routers and engines.
const (
	CompletionsPath = "/v1/chat/completions"
	// StreamsPath and a request ID are the path of a response, to resume or cancel it.
	StreamsPath     = "/v1/streams/"
	LoadPath        = "/v1/load"
	CacheEventsPath = "/v1/cache-events"

	// RequestHeader carries the request's ID.
	RequestHeader = "X-Request-Id"
	// PriorityHeader carries the request's priority, as ChatRequest.Priority has it.
	PriorityHeader = "X-Priority"
	// ChatHeader carries the chat's identity, a hint for the engine's cache.
	ChatHeader = "X-Chat"
	// IdempotencyKeyHeader carries the caller's idempotency key, if the caller sent one.
	IdempotencyKeyHeader = "Idempotency-Key"
	// NotRunHeader on an error response says that the request was not run.
	NotRunHeader = "X-Not-Run"
	// LeavingHeader says that the engine has begun a planned stop.
	LeavingHeader = "X-Leaving"
)

// EndMarker is the data of the last event of a complete response.
const EndMarker = "[DONE]"

// EventID formats the ID of a response's event: the request ID and the event's offset.
func EventID(request string, offset int) string {
	return request + "/" + strconv.Itoa(offset)
}

// ParseEventID parses the result of EventID; ok is false for any other text.
func ParseEventID(id string) (request string, offset int, ok bool) {
	slash := strings.LastIndexByte(id, '/')
	if slash < 0 {
		return "", 0, false
	}
	offset, err := strconv.Atoi(id[slash+1:])
	return id[:slash], offset, err == nil && offset >= 0
}
