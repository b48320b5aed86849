// Package peer carries envelopes between routers over grpc-go: one long-lived
// stream for each pair of routers that have work for each other, opened at need
// and closed when idle. What waits for a router goes out in one message.
package peer
