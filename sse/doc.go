// Package sse reads and writes server-sent events of limited size.
package sse
