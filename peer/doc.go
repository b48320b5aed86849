// Package peer carries envelopes between routers over gRPC: one long-lived stream for each pair of
// routers that have something to send, opened when needed and closed when idle. An envelope, type
// peerpb.Envelope, holds messages about slots, loads, claims and the configuration. All envelopes
// queued for a router are merged into one message.
package peer
