package gateway

import "github.com/slipwick/slipwick/memory"

// maxQueueBytes bounds the buffer of a readAheadQueue.
const maxQueueBytes = maxReadAheadBytes - readAheadChunkBytes

// readAheadQueue holds bytes in order: a buffer whose memory is reserved as it grows, followed by the
// part of the last chunk for which the buffer had no room.
type readAheadQueue struct {
	held *memory.Reservation
	// The bytes are buffer[taken:].
	buffer []byte
	taken  int
	// chunk belongs to the caller of put, who must not change it until store returns true.
	chunk []byte
}

// put adds a chunk after all other bytes; the chunk before it must have been stored.
func (q *readAheadQueue) put(chunk []byte) {
	q.chunk = chunk
}

// store moves the chunk into the buffer, as far as there is room, and reports whether nothing is left of
// it.
func (q *readAheadQueue) store() bool {
	if q.taken > 0 {
		q.buffer = q.buffer[:copy(q.buffer, q.buffer[q.taken:])]
		q.taken = 0
	}
	fits := len(q.chunk) <= cap(q.buffer)-len(q.buffer)
	for !fits && q.grow() {
		fits = len(q.chunk) <= cap(q.buffer)-len(q.buffer)
	}
	n := min(len(q.chunk), cap(q.buffer)-len(q.buffer))
	q.buffer = append(q.buffer, q.chunk[:n]...)
	q.chunk = q.chunk[n:]
	return len(q.chunk) == 0
}

// grow doubles the buffer and reports whether it did, which needs memory for both buffers for a moment.
func (q *readAheadQueue) grow() bool {
	old := cap(q.buffer)
	size := min(max(2*old, readAheadChunkBytes), maxQueueBytes)
	if size <= old || !q.held.TryGrow(memory.Stream, int64(size)) {
		return false
	}
	buffer := make([]byte, len(q.buffer), size)
	copy(buffer, q.buffer)
	q.buffer = buffer
	q.held.Shrink(memory.Stream, int64(old))
	return true
}

// take moves the first bytes to into and returns how many. Once the buffer is empty, it keeps no more
// memory than one chunk needs.
func (q *readAheadQueue) take(into []byte) int {
	n := copy(into, q.buffer[q.taken:])
	q.taken += n
	if q.taken == len(q.buffer) {
		q.buffer, q.taken = q.buffer[:0], 0
		if cap(q.buffer) > readAheadChunkBytes {
			q.release()
		}
	}
	if len(q.buffer) == 0 {
		fromChunk := copy(into[n:], q.chunk)
		q.chunk = q.chunk[fromChunk:]
		n += fromChunk
	}
	return n
}

// release gives back the buffer.
func (q *readAheadQueue) release() {
	q.held.Shrink(memory.Stream, int64(cap(q.buffer)))
	q.buffer, q.taken = nil, 0
}
