// Package emulation runs the real decision code of many routers in one
// process, over in-memory links with latency and faults, before fakes of
// engines. Under testing/synctest hours pass in seconds.
package emulation
