// Package stream follows one answer of an engine to its end marker: it checks
// the request and offset of every event, bounds the waits, and resumes at the
// same engine when the connection breaks.
package stream
