// Package emulator runs real routers over loopback TCP against stand-ins of
// the platform and engines, with callers whose chats return in bursts.
package emulator
