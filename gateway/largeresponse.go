package gateway

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/upstream"
)

const (
	// copyBytes is the size of the buffer with which the rest of a large response is forwarded.
	copyBytes = 32 << 10
	// callerStallTime is how long a write of a large response may block until the backend server may
	// break off the response because of the caller.
	callerStallTime = time.Second
)

// largeResponse forwards a response that is too large to buffer, as fast as its caller reads.
type largeResponse struct {
	call     *call
	lease    *balance.Lease
	response *upstream.Response
	// source is the body of the response.
	source io.Reader
	// stall has the writes that took longer than callerStallTime.
	stall callerStall
}

// forward forwards the part that was buffered and then the rest.
func (l *largeResponse) forward(buffered *bufferedResponse) (result, slipwick.Evidence, error) {
	w := l.call.writer
	l.call.beginResponse()
	copyHeader(w.Header(), buffered.header)
	if l.response.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(l.response.Length, 10))
	} else {
		l.call.beginUnframed()
	}
	w.WriteHeader(buffered.status)
	l.call.progress.headWritten = true
	err := l.write(buffered.body)
	buffered.release()
	if err != nil {
		return resultDisconnected, slipwick.EvidenceGood, err
	}
	return l.forwardRest()
}

func (l *largeResponse) forwardRest() (result, slipwick.Evidence, error) {
	buffer, release := l.copyBuffer()
	defer release()
	for {
		started := time.Now()
		n, err := l.source.Read(buffer)
		l.stall.recordWait(time.Since(started))
		if writeErr := l.write(buffer[:n]); writeErr != nil {
			return resultDisconnected, slipwick.EvidenceNone, writeErr
		}
		switch {
		case errors.Is(err, io.EOF):
			return resultDelivered, slipwick.EvidenceGood, nil
		case err != nil && (l.stall.explainsEnd() || l.call.ctx.Err() != nil):
			// The caller or the deadline of the request has ended the response, or may have.
			return resultCut, slipwick.EvidenceNone, err
		case err != nil:
			return resultCut, slipwick.EvidenceError, err
		}
	}
}

// copyBuffer returns a buffer of copyBytes or, without memory for it, of the request's base bytes.
func (l *largeResponse) copyBuffer() (buffer []byte, release func()) {
	const more = copyBytes - baseBytes
	if !l.call.held.TryGrow(memory.Response, more) {
		return make([]byte, baseBytes), func() {}
	}
	return make([]byte, copyBytes), func() { l.call.held.Shrink(memory.Response, more) }
}

func (l *largeResponse) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	started := time.Now()
	err := l.call.writeWhilePaused(l.lease, data)
	if time.Since(started) > callerStallTime {
		l.stall.begin()
	}
	return err
}

// writeWhilePaused writes to the caller; meanwhile the silence of the backend server doesn't count.
func (c *call) writeWhilePaused(lease *balance.Lease, data []byte) error {
	c.gateway.Balancer.PauseForCaller(lease)
	defer c.gateway.Balancer.ResumeForCaller(lease)
	_, err := c.writer.Write(data)
	return err
}
