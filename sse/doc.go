// Package sse reads and writes server-sent events within bounds.
package sse
