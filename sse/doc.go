// Package sse reads and writes server-sent events, as the HTML standard defines them. It limits the
// size of the events that it reads.
package sse
