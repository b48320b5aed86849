package inbound

import "syscall"

const (
	// callerDescriptorShare and peerDescriptorShare are the parts of the file descriptors that connections of callers and
	// of other routers may use at most. The rest is left for backend servers, tunnels and the store.
	callerDescriptorShare = 0.6
	peerDescriptorShare   = 0.1
	// callerMemoryShare is the part of Capacity.MemoryBytes that connections of callers may use, connectionBytes what one
	// takes: two goroutines, their buffers, and a usual head.
	callerMemoryShare = 0.3
	connectionBytes   = 32 << 10
	minConnections    = 64
	// defaultFileDescriptors applies if neither Capacity nor the system have a limit.
	defaultFileDescriptors = 4096
)

// Capacity is what a process may use of its box. Fields that are 0 stand for the limits of the system.
type Capacity struct {
	MemoryBytes     int64
	FileDescriptors int
}

// MaxCallers returns how many connections callers may have open.
func (c Capacity) MaxCallers() int {
	limit := int(callerDescriptorShare * float64(c.fileDescriptors()))
	if c.MemoryBytes > 0 {
		limit = min(limit, int(callerMemoryShare*float64(c.MemoryBytes)/connectionBytes))
	}
	return max(limit, minConnections)
}

// MaxPeers returns how many connections other routers may have open, beside those of tunnels.
func (c Capacity) MaxPeers() int {
	return max(int(peerDescriptorShare*float64(c.fileDescriptors())), minConnections)
}

// fileDescriptors returns how many file descriptors the process may open.
func (c Capacity) fileDescriptors() uint64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = defaultFileDescriptors
	}
	if c.FileDescriptors > 0 {
		return min(limit.Cur, uint64(c.FileDescriptors))
	}
	return limit.Cur
}
