package engine

import (
	"strconv"
	"strings"
)

// Paths and headers of the protocol between routers and engines.
const (
	CompletionsPath = "/v1/chat/completions"
	StreamsPath     = "/v1/streams/"
	LoadPath        = "/v1/load"
	CacheEventsPath = "/v1/cache-events"

	// RequestHeader carries the request's ID.
	RequestHeader = "X-Request-Id"
	// PriorityHeader carries the request's priority.
	PriorityHeader = "X-Priority"
	// ChatHeader carries the chat's identity, as a hint for the cache.
	ChatHeader = "X-Chat"
	// KeyHeader carries the caller's request key, if it gave one.
	KeyHeader = "Idempotency-Key"
	// NotRunHeader on an error answer says that the request was not run.
	NotRunHeader = "X-Not-Run"
	// LeavingHeader on an error answer says that the engine leaves.
	LeavingHeader = "X-Leaving"
)

// EndMarker is the data of the last event of a whole answer.
const EndMarker = "[DONE]"

// EventID writes the id of an answer's event.
func EventID(request string, offset int) string {
	return request + "/" + strconv.Itoa(offset)
}

// ParseEventID reads what EventID wrote; ok is false for anything else.
func ParseEventID(id string) (request string, offset int, ok bool) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return "", 0, false
	}
	offset, err := strconv.Atoi(id[cut+1:])
	return id[:cut], offset, err == nil && offset >= 0
}
