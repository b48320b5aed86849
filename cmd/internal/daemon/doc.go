// Package daemon runs one chat router process: it reads the settings, builds the components and serves
// requests for chats and plain services. Package gatewayd runs the other kind of router, the gateway.
//
// Callers are the clients whose requests the router forwards to backend servers, operators read its
// status, and peers are the other routers of the fleet. The platform stores the configuration and the
// idempotency keys and lists the boxes of the fleet. Each backend server is owned by one router, which
// grants its slots to all. The claims of idempotency keys are stored in journals, each of which is
// held, that is, written, by one router at a time.
package daemon
