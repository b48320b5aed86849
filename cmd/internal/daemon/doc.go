// Package daemon runs one router process: it reads the settings, builds the components and serves
// requests. Callers are the clients whose requests it forwards to backend servers, operators read its
// status, and peers are the other routers of the fleet. The platform stores the configuration and the
// idempotency keys and lists the boxes of the fleet.
package daemon
