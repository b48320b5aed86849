// Package objectapi is the client for the platform's public HTTP protocol: its object API and its
// list of boxes. docs/WIRE.md describes the protocol.
package objectapi
