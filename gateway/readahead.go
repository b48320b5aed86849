package gateway

import (
	"sync"
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/upstream"
)

const (
	// stallDelay is how long a write to the caller may block before the stream is read ahead. It is also
	// how often a stream that is not read because there is no room checks for room.
	stallDelay = 50 * time.Millisecond
	// maxReadAheadBytes bounds what is read ahead of one caller, including the readAheadChunkBytes of one
	// read.
	maxReadAheadBytes   = 64 << 10
	readAheadChunkBytes = 4 << 10
)

// readAhead reads the stream of a backend server for one send. While its caller reads at once, it reads
// from the connection directly. When a write to the caller blocks, a goroutine reads ahead into a buffer
// from then on, so that the backend server doesn't cut off a stream for a short stall. When the buffer is
// full or the router has no memory for it, the goroutine stops reading until the caller goes on.
//
// Read, beginWrite, endWrite and close must be used by one goroutine.
type readAhead struct {
	call     *call
	lease    *balance.Lease
	response *upstream.Response
	// timer starts the goroutine; it is nil before the first write.
	timer *time.Timer
	// isAhead says that the goroutine reads the response, as seen by the goroutine that writes.
	isAhead bool

	mu sync.Mutex
	// isWriting says that a write is in progress, isRunning that the goroutine was started, isPaused that
	// nothing is read because of the caller.
	isWriting, isRunning, isClosed, isPaused bool
	// stall has the pauses because of the caller.
	stall callerStall
	queue readAheadQueue
	// err ended the reading; it is returned by Read once the queue is empty.
	err error
	// arrived receives a value when the queue or err have changed, taken when bytes were taken from the
	// queue. done is closed when the goroutine has ended.
	arrived, taken, done chan struct{}
}

func newReadAhead(c *call, lease *balance.Lease, response *upstream.Response) *readAhead {
	return &readAhead{
		call:     c,
		lease:    lease,
		response: response,
		queue: readAheadQueue{
			held: c.held,
		},
	}
}

// Read returns the next bytes of the stream, and the error of the response once all were returned.
func (r *readAhead) Read(into []byte) (int, error) {
	if !r.isAhead {
		return r.readResponse(into)
	}
	for {
		n, err := r.take(into)
		if n > 0 || err != nil {
			return n, err
		}
		<-r.arrived
	}
}

// readResponse reads from the connection and reports what arrived to the balancer.
func (r *readAhead) readResponse(into []byte) (int, error) {
	started := time.Now()
	n, err := r.response.Read(into)
	r.recordWait(time.Since(started))
	if n > 0 {
		r.call.gateway.Balancer.RecordProgress(r.lease)
	}
	return n, err
}

func (r *readAhead) recordWait(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stall.recordWait(took)
}

// take takes bytes from the queue without blocking.
func (r *readAhead) take(into []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.queue.take(into); n > 0 {
		signal(r.taken)
		return n, nil
	}
	return 0, r.err
}

// beginWrite has to be called before each write to the caller, and endWrite after it.
func (r *readAhead) beginWrite() {
	if r.isAhead {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isWriting = true
	if r.timer == nil {
		r.timer = time.AfterFunc(stallDelay, r.onStall)
		return
	}
	r.timer.Reset(stallDelay)
}

func (r *readAhead) endWrite() {
	if r.isAhead {
		return
	}
	r.timer.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isWriting = false
	r.isAhead = r.isRunning
	if !r.isRunning {
		r.resumeLocked()
	}
}

// onStall runs in the goroutine of the timer and reads ahead if the write still blocks.
func (r *readAhead) onStall() {
	if !r.start() {
		return
	}
	defer close(r.done)
	chunk := make([]byte, readAheadChunkBytes)
	for {
		n, err := r.readResponse(chunk)
		if !r.deliver(chunk[:n], err) {
			return
		}
	}
}

// start reports whether the goroutine is to read ahead. Without memory for it, the timer tries again.
func (r *readAhead) start() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isWriting || r.isRunning || r.isClosed {
		return false
	}
	if !r.call.held.TryGrow(memory.Stream, readAheadChunkBytes) {
		r.pauseLocked()
		r.timer.Reset(stallDelay)
		return false
	}
	r.resumeLocked()
	r.isRunning = true
	r.arrived, r.taken = make(chan struct{}, 1), make(chan struct{}, 1)
	r.done = make(chan struct{})
	return true
}

// deliver adds what was read to the queue, blocks until there is room for the next read, and reports
// whether to read on.
func (r *readAhead) deliver(chunk []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	r.queue.put(chunk)
	signal(r.arrived)
	for !r.queue.store() && !r.isClosed {
		r.pauseLocked()
		r.awaitTakenLocked()
	}
	r.resumeLocked()
	return err == nil && !r.isClosed
}

// awaitTakenLocked waits without the lock until bytes were taken, or until it is time to check whether
// the router has memory again.
func (r *readAhead) awaitTakenLocked() {
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-r.taken:
	case <-time.After(stallDelay):
	}
}

func (r *readAhead) pauseLocked() {
	if !r.isPaused {
		r.isPaused = true
		r.stall.begin()
		r.call.gateway.Balancer.PauseForCaller(r.lease)
	}
}

func (r *readAhead) resumeLocked() {
	if r.isPaused {
		r.isPaused = false
		r.call.gateway.Balancer.ResumeForCaller(r.lease)
	}
}

// stalled reports whether the response was not read for some time because of the caller, shortly before
// it ended, which may be why the backend server ended it.
func (r *readAhead) stalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stall.explainsEnd()
}

// close ends the reading and gives back the memory of the buffer. If the goroutine still reads, it
// aborts the response.
func (r *readAhead) close() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Lock()
	r.isClosed = true
	running := r.isRunning
	r.resumeLocked()
	r.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-r.done:
	default:
		signal(r.taken)
		r.response.Abort()
		<-r.done
	}
	r.queue.release()
	r.call.held.Shrink(memory.Stream, readAheadChunkBytes)
}

// signal makes the next receive from a channel of capacity 1 return.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
