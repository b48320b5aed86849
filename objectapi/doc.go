// Package objectapi is the client for the platform's public HTTP protocol: its object API and its
// list of boxes. docs/WIRE.md describes the protocol. The gateway does not use it: its platform has
// a store with another protocol, whose client is in package platform.
package objectapi
