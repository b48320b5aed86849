// Package emulation runs the production admission, membership and
// configuration code of many routers in one process. The routers talk over
// in-memory links with latency and faults and use fake engines. Under
// testing/synctest hours pass in seconds.
package emulation
