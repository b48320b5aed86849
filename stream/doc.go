// Package stream reads the streamed response of an engine up to its end marker: it checks
// the request ID and offset of every event, applies timeouts, and resumes the response at
// the same engine when the connection breaks.
package stream
