// Package emulation tests and measures a fleet of many routers in one process.
// The routers run the production admission, membership and configuration code.
// They talk over in-memory links with latency and faults, and use emulated
// engines and an emulated platform store. Under testing/synctest the clock is
// virtual, so that hours pass in seconds.
//
// Each engine is owned by one router, which grants the slots of the engine to
// the requests of all routers: this is admission by owners, and the baselines
// are the alternatives that it is measured against. cmd/internal/demofleet runs
// whole router processes over TCP instead, in real time.
package emulation
