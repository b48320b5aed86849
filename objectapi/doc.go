// Package objectapi speaks the platform's published HTTP protocol: its object
// API and its list of boxes. docs/WIRE.md states the protocol.
package objectapi
