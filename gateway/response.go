package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

var errInvalidResponse = errors.New("invalid response: stamp missing, request ID different, or content encoded")

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
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		_, _, _ = bufferResponse(response)
		return resultNotRun, slipwick.EvidenceLeaving, nil
	case response.Header.Get(names.NotRun) != "":
		_, _, _ = bufferResponse(response)
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
	return c.forwardBuffered(response)
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
	return response.Header.Get(names.RequestID) == c.id
}

// forwardBuffered reads a response to its end and forwards it. A failure is kept instead, and
// forwarded only if no other response follows. Once a part of a stream was forwarded, any response
// that does not continue the stream counts as a failure.
func (c *call) forwardBuffered(response *upstream.Response) (result, slipwick.Evidence, error) {
	buffered, tooLarge, err := bufferResponse(response)
	switch {
	case err != nil && c.request.Context().Err() != nil:
		return resultDisconnected, slipwick.EvidenceNone, err
	case err != nil:
		return resultBroken, slipwick.EvidenceError, err
	case c.progress.headWritten || isFailure(response.Status):
		if !impliesNotRun(response.Status) {
			c.failedResponse = buffered
		}
		return resultFailed, slipwick.EvidenceError, nil
	case tooLarge:
		return c.forwardLarge(buffered, response)
	}
	// The backend server has finished, however long the caller takes to read.
	c.permit.release(slipwick.EvidenceGood)
	if err := buffered.write(c.writer); err != nil {
		return resultDisconnected, slipwick.EvidenceGood, err
	}
	return resultDelivered, slipwick.EvidenceGood, nil
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

// forwardLarge forwards a response that is too large to buffer.
func (c *call) forwardLarge(
	buffered *bufferedResponse, response *upstream.Response,
) (result, slipwick.Evidence, error) {
	copyHeader(c.writer.Header(), buffered.header)
	if response.Length >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.writer.WriteHeader(buffered.status)
	c.progress.headWritten = true
	if _, err := c.writer.Write(buffered.body); err != nil {
		return resultDisconnected, slipwick.EvidenceGood, err
	}
	if _, err := io.Copy(c.writer, response); err != nil {
		return resultCut, slipwick.EvidenceError, err
	}
	return resultDelivered, slipwick.EvidenceGood, nil
}

// eventBufferSize is the initial size, in bytes, of the buffer for incomplete events.
const eventBufferSize = 4 << 10

// maxEventBytes is the largest size of one event.
const maxEventBytes = 256 << 10

// forwardEvents forwards complete events as they arrive.
func (c *call) forwardEvents(lease *balance.Lease, response *upstream.Response) (result, slipwick.Evidence, error) {
	buffered := make([]byte, 0, eventBufferSize)
	for {
		if len(buffered) == cap(buffered) {
			buffered = append(buffered, make([]byte, cap(buffered))...)[:len(buffered)]
		}
		if len(buffered) > maxEventBytes {
			return c.classifyStreamError(errors.New("event is larger than 256 KiB"))
		}
		n, err := response.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		size := completeLength(buffered)
		if errors.Is(err, io.EOF) {
			size = len(buffered)
		}
		if writeErr := c.writeEvents(response, buffered[:size]); writeErr != nil {
			return resultDisconnected, slipwick.EvidenceNone, writeErr
		}
		buffered = append(buffered[:0], buffered[size:]...)
		if size > 0 {
			if c.firstEvent.IsZero() {
				c.firstEvent = clock.Now()
			}
			c.gateway.Balancer.RecordProgress(lease)
		}
		switch {
		case errors.Is(err, io.EOF):
			if c.writeHead(response) != nil {
				return resultDisconnected, slipwick.EvidenceGood, nil
			}
			return resultDelivered, slipwick.EvidenceGood, nil
		case err != nil:
			return c.classifyStreamError(err)
		}
	}
}

// classifyStreamError returns the result of a stream that broke off.
func (c *call) classifyStreamError(err error) (result, slipwick.Evidence, error) {
	switch {
	case c.request.Context().Err() != nil:
		return resultDisconnected, slipwick.EvidenceNone, err
	case c.ctx.Err() != nil || upstream.IsResponseTimeout(err):
		return resultBroken, slipwick.EvidenceNone, err
	default:
		return resultBroken, slipwick.EvidenceError, err
	}
}

// writeEvents writes those events that the caller does not have yet, after the response header if
// they are the first.
func (c *call) writeEvents(response *upstream.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	events = c.progress.filterNew(events)
	if len(events) == 0 {
		return nil
	}
	if err := c.writeHead(response); err != nil {
		return err
	}
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
	copyHeader(c.writer.Header(), response.Header)
	c.writer.WriteHeader(response.Status)
	return nil
}
