package gateway

import "github.com/slipwick/slipwick/memory"

// maxQueueBytes bounds the buffers of a readAheadQueue.
const maxQueueBytes = maxReadAheadBytes - readAheadChunkBytes

// readAheadQueue holds bytes in order: buffers of readAheadChunkBytes, whose memory is reserved one by
// one, followed by the part of the last chunk for which there was no room.
type readAheadQueue struct {
	held *memory.Reservation
	// buffers hold the bytes, of which taken were taken from the first buffer. The last buffer is kept
	// when it is empty.
	buffers [][]byte
	taken   int
	// chunk belongs to the caller of put, who must not change it until store returns true.
	chunk []byte
}

// put adds a chunk after all other bytes; the chunk before it must have been stored.
func (q *readAheadQueue) put(chunk []byte) {
	q.chunk = chunk
}

// store moves the chunk into the buffers, as far as there is room, and reports whether nothing is left
// of it.
func (q *readAheadQueue) store() bool {
	for len(q.chunk) > 0 {
		last := len(q.buffers) - 1
		if last < 0 || len(q.buffers[last]) == readAheadChunkBytes {
			if !q.addBuffer() {
				return false
			}
			continue
		}
		n := min(len(q.chunk), readAheadChunkBytes-len(q.buffers[last]))
		q.buffers[last] = append(q.buffers[last], q.chunk[:n]...)
		q.chunk = q.chunk[n:]
	}
	return true
}

// addBuffer reports whether there was room for another buffer.
func (q *readAheadQueue) addBuffer() bool {
	if (len(q.buffers)+1)*readAheadChunkBytes > maxQueueBytes ||
		!q.held.TryGrow(memory.Stream, readAheadChunkBytes) {
		return false
	}
	q.buffers = append(q.buffers, make([]byte, 0, readAheadChunkBytes))
	return true
}

// take moves the first bytes to into and returns how many.
func (q *readAheadQueue) take(into []byte) int {
	n := 0
	for n < len(into) && len(q.buffers) > 0 && len(q.buffers[0]) > 0 {
		moved := copy(into[n:], q.buffers[0][q.taken:])
		n, q.taken = n+moved, q.taken+moved
		if q.taken == len(q.buffers[0]) {
			q.dropFirst()
		}
	}
	if n < len(into) {
		moved := copy(into[n:], q.chunk)
		n, q.chunk = n+moved, q.chunk[moved:]
	}
	return n
}

// dropFirst gives back the first buffer, or empties it if it is the only one.
func (q *readAheadQueue) dropFirst() {
	q.taken = 0
	if len(q.buffers) == 1 {
		q.buffers[0] = q.buffers[0][:0]
		return
	}
	q.buffers[0] = nil
	q.buffers = q.buffers[1:]
	q.held.Shrink(memory.Stream, readAheadChunkBytes)
}

// release gives back the buffers.
func (q *readAheadQueue) release() {
	q.held.Shrink(memory.Stream, int64(len(q.buffers)*readAheadChunkBytes))
	q.buffers, q.taken = nil, 0
}
