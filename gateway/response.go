package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

var errInvalidResponse = errors.New("invalid response: stamp missing, request ID different, or content encoded")

// errLargeFailure is the error of a failure response that is too large to be kept until it is known
// whether another response follows.
var errLargeFailure = errors.New("failure response is too large to be kept; shorten it at the backend server")

// noticeOf returns what the backend server announces about itself in the response. A 421 comes from
// a backend server other than the intended one, and so announces nothing about the intended one.
func (c *call) noticeOf(response *upstream.Response) slipwick.Notice {
	if response.Status == http.StatusMisdirectedRequest {
		return slipwick.Notice{}
	}
	return httpclient.ParseNotice(response.Status, response.Header, c.gateway.Headers.Leaving, "1")
}

// handleResponse classifies a response, reports it to the balancer, and forwards it to the caller
// if it is final.
func (c *call) handleResponse(
	lease *balance.Lease, response *upstream.Response, notice slipwick.Notice,
) (result, slipwick.Evidence, error) {
	names := &c.gateway.Headers
	c.gateway.Balancer.RecordNotice(lease, notice)
	c.gateway.Balancer.RecordResponseStart(lease)
	if load, ok := parseLoad(response.Header.Get(names.Load)); ok {
		c.gateway.Balancer.RecordLoad(lease, load)
		if load.Pace > 0 {
			c.gateway.RecordPace()
		}
	}
	if response.Status != http.StatusMisdirectedRequest {
		c.gateway.Balancer.RecordBrittle(lease, parseBrittle(response.Header.Get(names.Brittle)))
	}
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		discardBody(response)
		return resultNotRun, slipwick.EvidenceLeaving, nil
	case response.Header.Get(names.NotRun) != "":
		discardBody(response)
		return resultNotRun, evidenceOfRejection(response.Status), nil
	}
	c.possibleRuns++
	succeeded := response.Status/100 == 2
	if succeeded && !c.isGenuine(response) {
		return resultBroken, slipwick.EvidenceError, errInvalidResponse
	}
	if succeeded {
		c.gateway.Balancer.RecordResponseTime(lease)
	}
	if succeeded && c.route.Kind == routing.KindStream {
		return c.forwardEvents(lease, response)
	}
	return c.forwardBuffered(lease, response)
}

// evidenceOfRejection returns what a response with the header Headers.NotRun says about the backend
// server. A 503 or 429 means that it is overloaded. One that is caused by the limit of a workspace
// ejects no backend server: all of them send it alike, so that none fails more often than the
// others. Other statuses are about the request.
func evidenceOfRejection(status int) slipwick.Evidence {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return slipwick.EvidenceShed
	default:
		return slipwick.EvidenceNone
	}
}

// isGenuine reports whether a successful response was made by the backend server for this request:
// it carries the stamp and the request ID, and no content encoding.
func (c *call) isGenuine(response *upstream.Response) bool {
	names := &c.gateway.Headers
	if response.Header.Get(names.Stamp) == "" || response.Header.Get("Content-Encoding") != "" {
		return false
	}
	return c.isNamedBy(response)
}

// isNamedBy reports whether the response names the request.
func (c *call) isNamedBy(response *upstream.Response) bool {
	return response.Header.Get(c.gateway.Headers.RequestID) == c.id
}

// forwardBuffered reads a response to its end and forwards it. A failure is kept instead, and
// forwarded only if no other response follows. Once a part of a stream was forwarded, any response
// that does not continue the stream counts as a failure.
func (c *call) forwardBuffered(
	lease *balance.Lease, response *upstream.Response,
) (result, slipwick.Evidence, error) {
	source := &bodyProgress{
		call:     c,
		lease:    lease,
		response: response,
		readAt:   c.responseStart,
	}
	buffered, tooLarge, err := bufferResponse(response, source, c.held)
	defer c.releaseUnlessKept(buffered)
	switch {
	case err != nil && c.request.Context().Err() != nil:
		return resultDisconnected, slipwick.EvidenceNone, err
	case err != nil && c.ctx.Err() != nil:
		// The deadline of the request has ended the response.
		source.recordHang()
		return resultBroken, slipwick.EvidenceNone, err
	case err != nil:
		return resultBroken, slipwick.EvidenceError, err
	case c.progress.headWritten || isFailure(response.Status):
		if tooLarge {
			return resultFailed, slipwick.EvidenceError, errLargeFailure
		}
		if !impliesNotRun(response.Status) && !c.progress.headWritten {
			c.keepFailure(buffered)
		}
		return resultFailed, slipwick.EvidenceError, nil
	case tooLarge:
		large := &largeResponse{
			call:     c,
			lease:    lease,
			response: response,
			source:   source,
		}
		return large.forward(buffered)
	}
	// The backend server has finished, and other requests can use the connection, however long the
	// caller takes to read.
	c.permit.release(slipwick.EvidenceGood)
	response.Close()
	if err := c.writeBuffered(lease, buffered); err != nil {
		return resultDisconnected, slipwick.EvidenceGood, err
	}
	return resultDelivered, slipwick.EvidenceGood, nil
}

// keepFailure keeps a failure response in place of the one before.
func (c *call) keepFailure(buffered *bufferedResponse) {
	if c.failedResponse != nil {
		c.failedResponse.release()
	}
	c.failedResponse = buffered
}

func (c *call) releaseUnlessKept(buffered *bufferedResponse) {
	if buffered != c.failedResponse {
		buffered.release()
	}
}

// writeBuffered writes a buffered response. One that can block the write holds its lease meanwhile.
func (c *call) writeBuffered(lease *balance.Lease, buffered *bufferedResponse) error {
	if len(buffered.body) > baseBytes {
		c.gateway.Balancer.PauseForCaller(lease)
		defer c.gateway.Balancer.ResumeForCaller(lease)
	}
	c.beginResponse()
	return buffered.write(c.writer)
}

// maxDiscardTime is how long a request waits for the rest of a response of which only the head matters.
const maxDiscardTime = 200 * time.Millisecond

// discardBody reads and discards the body of a response, up to maxBufferedBytes and for up to maxDiscardTime, so that
// its connection can be used again.
func discardBody(response *upstream.Response) {
	aborted := make(chan struct{})
	timer := time.AfterFunc(maxDiscardTime, func() {
		defer close(aborted)
		response.Abort()
	})
	// After an error the connection is not used again.
	_, _ = io.CopyN(io.Discard, response, maxBufferedBytes)
	if !timer.Stop() {
		<-aborted
	}
}

func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || impliesNotRun(status)
}

// impliesNotRun reports whether callers take the status for a promise that the request was not run.
// Such a response is not forwarded, as only the header Headers.NotRun says for certain that the
// request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	default:
		return false
	}
}

// eventBufferSize is the initial size, in bytes, of the buffer for incomplete events.
const eventBufferSize = 4 << 10

// maxEventBytes is the largest size of one event.
const maxEventBytes = 256 << 10

// forwardEvents forwards complete events as they arrive.
func (c *call) forwardEvents(lease *balance.Lease, response *upstream.Response) (result, slipwick.Evidence, error) {
	source := newReadAhead(c, lease, response)
	defer source.close()
	// emptyBytes is how many bytes of comments and blank lines have arrived since the last event.
	emptyBytes := 0
	buffered := make([]byte, 0, eventBufferSize)
	defer func() { c.held.Shrink(memory.Stream, int64(cap(buffered)-eventBufferSize)) }()
	for {
		if len(buffered) > maxEventBytes {
			return c.classifyStreamError(errors.New("event is larger than 256 KiB"), source)
		}
		if len(buffered) == cap(buffered) {
			old := int64(cap(buffered))
			if !c.held.Await(c.ctx, memory.Stream, 2*old, memoryWait(c.route)) {
				return resultBroken, slipwick.EvidenceNone, errNoEventMemory
			}
			buffered = append(make([]byte, 0, 2*old), buffered...)
			c.held.Shrink(memory.Stream, old)
		}
		n, err := source.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		size := completeLength(buffered)
		if size > 0 {
			c.watch.recordEvent()
			emptyBytes += size
		}
		if hasField(buffered[:size]) {
			emptyBytes = 0
		}
		if emptyBytes > maxEventBytes {
			return c.classifyStreamError(errNoField, source)
		}
		if writeErr := c.writeEvents(response, source, buffered[:size]); writeErr != nil {
			return resultDisconnected, slipwick.EvidenceNone, writeErr
		}
		buffered = append(buffered[:0], buffered[size:]...)
		switch {
		case errors.Is(err, io.EOF):
			return c.finishEvents(response, source, buffered)
		case err != nil:
			return c.classifyStreamError(err, source)
		}
	}
}

// errNoField is the error of a stream that brings comments and blank lines alone.
var errNoField = errors.New("256 KiB of the stream are comments and blank lines")

// hasField reports whether any of the complete events has a field, such as an ID or data.
func hasField(events []byte) bool {
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// errNoEventMemory is the error of a stream with an event that is larger than the memory left.
var errNoEventMemory = errors.New("no room for an incomplete event in the router's memory")

// classifyStreamError returns the result of a stream that broke off.
func (c *call) classifyStreamError(err error, source *readAhead) (result, slipwick.Evidence, error) {
	switch {
	case c.request.Context().Err() != nil:
		return resultDisconnected, slipwick.EvidenceNone, err
	case c.ctx.Err() != nil || upstream.IsResponseTimeout(err) || source.stalled():
		return resultBroken, slipwick.EvidenceNone, err
	default:
		return resultBroken, slipwick.EvidenceError, err
	}
}

// writeEvents writes those events that the caller does not have yet, after the response header if
// they are the first.
func (c *call) writeEvents(response *upstream.Response, source *readAhead, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	events = c.progress.filterNew(events)
	if len(events) == 0 {
		return nil
	}
	c.beginEvents(source.lease)
	if err := c.writeHead(response); err != nil {
		return err
	}
	source.beginWrite()
	defer source.endWrite()
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}

// writeHead writes the status and header of a stream's response, once.
func (c *call) writeHead(response *upstream.Response) error {
	if c.progress.headWritten {
		return nil
	}
	c.progress.headWritten = true
	c.beginResponse()
	c.beginUnframed()
	copyHeader(c.writer.Header(), response.Header)
	c.writer.WriteHeader(response.Status)
	return nil
}
