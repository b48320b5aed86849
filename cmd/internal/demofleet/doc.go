// Package demofleet runs the scenario of slipwick demo: production routers in one
// process, over loopback TCP, against stand-ins for the platform and the engines.
// Its callers send the requests of their chats in bursts. Package emulation, in
// contrast, connects the components of routers in memory, with a virtual clock.
package demofleet
