package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

var errSpoilt = errors.New("the answer is not the backend server's own: stamp or ID are missing, or it is encoded")

// noticeOf reads what the backend server says of itself. The answer of another one than
// was meant says nothing of that one.
func (c *call) noticeOf(answer *upstream.Answer) slipwick.Notice {
	if answer.Status == http.StatusMisdirectedRequest {
		return slipwick.Notice{}
	}
	return httpclient.NoticeIn(answer.Status, answer.Header, c.gateway.Headers.Leaving, "1")
}

// judgeAnswer tells what an answer means, and passes it on if it is one.
func (c *call) judgeAnswer(
	lease *balance.Lease, answer *upstream.Answer, notice slipwick.Notice,
) (result, slipwick.Evidence, error) {
	names := &c.gateway.Headers
	c.gateway.Balancer.Noticed(lease, notice)
	c.gateway.Balancer.Began(lease)
	if load, ok := parseLoad(answer.Header.Get(names.Load)); ok {
		c.gateway.Balancer.Reported(lease, load)
	}
	switch {
	case answer.Status == http.StatusMisdirectedRequest:
		_, _, _ = readWhole(answer)
		return resultNotRun, slipwick.EvidenceLeaving, nil
	case answer.Header.Get(names.NotRun) != "":
		_, _, _ = readWhole(answer)
		return resultNotRun, evidenceOfRefusal(answer.Status), nil
	}
	c.runs++
	succeeded := answer.Status/100 == 2
	if succeeded && !c.isGenuine(answer) {
		return resultBroken, slipwick.EvidenceError, errSpoilt
	}
	if succeeded {
		c.gateway.Balancer.LearnPace(lease)
	}
	if succeeded && c.route.Kind == routing.KindStream {
		return c.passEvents(lease, answer)
	}
	return c.passWhole(answer)
}

// evidenceOfRefusal tells what a request that the backend server did not run says of it.
// A 503 and a 429 tell of too little room, of which a limit on a workspace is none: that is
// the same at all servers, and none of them fails more than the others. Other refusals are
// about the request.
func evidenceOfRefusal(status int) slipwick.Evidence {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return slipwick.EvidenceShed
	default:
		return slipwick.EvidenceNone
	}
}

// isGenuine tells whether a success is the backend server's own answer to this
// request.
func (c *call) isGenuine(answer *upstream.Answer) bool {
	names := &c.gateway.Headers
	if answer.Header.Get(names.Stamp) == "" || answer.Header.Get("Content-Encoding") != "" {
		return false
	}
	return answer.Header.Get(names.RequestID) == c.id
}

// passWhole reads an answer to its end and passes it on if it is a success, or
// if there will be no other.
func (c *call) passWhole(answer *upstream.Answer) (result, slipwick.Evidence, error) {
	whole, tooLong, err := readWhole(answer)
	switch {
	case err != nil && c.request.Context().Err() != nil:
		return resultLeft, slipwick.EvidenceNone, err
	case err != nil:
		return resultBroken, slipwick.EvidenceError, err
	case c.stream.begun || isFailure(answer.Status):
		if !promisesNotRun(answer.Status) {
			c.failure = whole
		}
		return resultFailed, slipwick.EvidenceError, nil
	case tooLong:
		return c.passLong(whole, answer)
	}
	if err := whole.write(c.writer); err != nil {
		return resultLeft, slipwick.EvidenceGood, err
	}
	return resultDelivered, slipwick.EvidenceGood, nil
}

func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || promisesNotRun(status)
}

// promisesNotRun tells whether callers take the status for a promise that the
// request was not run. It is not passed on unless the backend server says so in
// its header.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	default:
		return false
	}
}

// passLong passes on an answer that is too long to hold.
func (c *call) passLong(start *wholeAnswer, answer *upstream.Answer) (result, slipwick.Evidence, error) {
	copyHeader(c.writer.Header(), start.header)
	if answer.Length >= 0 {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	c.writer.WriteHeader(start.status)
	c.stream.begun = true
	if _, err := c.writer.Write(start.body); err != nil {
		return resultLeft, slipwick.EvidenceGood, err
	}
	if _, err := io.Copy(c.writer, answer); err != nil {
		return resultCut, slipwick.EvidenceError, err
	}
	return resultDelivered, slipwick.EvidenceGood, nil
}

// streamBuffer holds what came of an event that is not whole yet.
const streamBuffer = 4 << 10

// maxEvent bounds one event.
const maxEvent = 256 << 10

// passEvents passes whole events on as they arrive.
func (c *call) passEvents(lease *balance.Lease, answer *upstream.Answer) (result, slipwick.Evidence, error) {
	held := make([]byte, 0, streamBuffer)
	for {
		if len(held) == cap(held) {
			held = append(held, make([]byte, cap(held))...)[:len(held)]
		}
		if len(held) > maxEvent {
			return c.brokenStream(errors.New("an event is too long"))
		}
		n, err := answer.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		size := wholeEvents(held)
		if errors.Is(err, io.EOF) {
			size = len(held)
		}
		if failed := c.passOn(answer, held[:size]); failed != nil {
			return resultLeft, slipwick.EvidenceNone, failed
		}
		held = append(held[:0], held[size:]...)
		if size > 0 {
			if c.firstEvent.IsZero() {
				c.firstEvent = clock.Now()
			}
			c.gateway.Balancer.Heard(lease)
		}
		switch {
		case errors.Is(err, io.EOF):
			if c.begin(answer) != nil {
				return resultLeft, slipwick.EvidenceGood, nil
			}
			return resultDelivered, slipwick.EvidenceGood, nil
		case err != nil:
			return c.brokenStream(err)
		}
	}
}

// brokenStream tells what a stream that broke off means.
func (c *call) brokenStream(err error) (result, slipwick.Evidence, error) {
	switch {
	case c.request.Context().Err() != nil:
		return resultLeft, slipwick.EvidenceNone, err
	case c.ctx.Err() != nil || upstream.IsGivenUp(err):
		return resultBroken, slipwick.EvidenceNone, err
	default:
		return resultBroken, slipwick.EvidenceError, err
	}
}

// passOn writes events to the caller, with the answer's head before the first.
func (c *call) passOn(answer *upstream.Answer, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	events = c.stream.take(events)
	if len(events) == 0 {
		return nil
	}
	if err := c.begin(answer); err != nil {
		return err
	}
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}

// begin writes the head of a stream's answer, once.
func (c *call) begin(answer *upstream.Answer) error {
	if c.stream.begun {
		return nil
	}
	c.stream.begun = true
	copyHeader(c.writer.Header(), answer.Header)
	c.writer.WriteHeader(answer.Status)
	return nil
}

// parseLoad reads requests running and waiting, separated by a comma.
func parseLoad(text string) (load balance.Load, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return balance.Load{}, false
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil {
		return balance.Load{}, false
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil {
		return balance.Load{}, false
	}
	return balance.Load{
		Running: running,
		Waiting: waiting,
	}, true
}
