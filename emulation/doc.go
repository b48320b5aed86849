// Package emulation tests and measures a fleet of many routers in one process.
// The routers run the production admission, membership and configuration code.
// They talk over in-memory links with latency and faults, and use emulated
// engines and an emulated platform store. Under testing/synctest the clock is
// virtual, so that hours pass in seconds.
package emulation
