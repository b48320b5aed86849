package scripted

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// exchange is one request on a connection, and its response.
type exchange struct {
	server  *Server
	conn    *connection
	request *http.Request
	sent    *Request
	plan    Plan
	arrived time.Time
	// header has the header lines of the response, body its body.
	header, body string
}

// play answers the request by its plan and reports whether the connection is kept.
func (e *exchange) play() bool {
	if e.plan.Action != ActionRun {
		time.Sleep(e.plan.Pause)
	}
	switch e.plan.Action {
	case ActionDrop:
		return e.finish(0)
	case ActionReject:
		return e.reject(e.plan.Status)
	default:
		return e.run()
	}
}

// reject responds that the request was not run.
func (e *exchange) reject(status int) bool {
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if !e.plan.IsUnnamed {
		e.header = e.name(e.sent.ID)
	}
	if status != http.StatusMisdirectedRequest {
		e.header += e.notRun()
	}
	e.body = strings.Repeat("r", e.plan.RejectionBytes)
	return e.finish(status)
}

// run runs the request if there is a place. While it waits for one, the deadline may pass or the connection end.
func (e *exchange) run() bool {
	if !e.server.enter() {
		return e.reject(0)
	}
	defer e.server.leave()
	entered := time.Now()
	defer func() { e.server.held.Add(int64(time.Since(entered))) }()
	switch {
	case e.conn.isClosed():
		return false
	case e.isLate():
		return e.reject(0)
	}
	status := e.plan.Status
	if status == 0 {
		status = http.StatusOK
	}
	if e.plan.RunsLate {
		time.Sleep(e.plan.Pause)
	}
	stamp := e.server.Ledger.began(e.sent, e.server.ID, status)
	if !e.plan.RunsLate {
		time.Sleep(e.plan.Pause)
	}
	time.Sleep(e.server.Work)
	e.header = e.name(e.sent.ID) + e.server.Headers.Stamp + ": " + stamp + "\r\n"
	e.body = bodyOf(e.sent, stamp)
	if e.server.FormatBody != nil && status == http.StatusOK {
		header, body := e.server.FormatBody(e.sent, e.body)
		e.header, e.body = e.header+header, body
	}
	if e.sent.Kind.IsStream() && status == http.StatusOK {
		last, _ := strconv.Atoi(e.request.Header.Get("Last-Event-Id"))
		e.header += "Content-Type: text/event-stream\r\n"
		e.body = streamOf(e.sent, stamp, last)
	}
	return e.finish(status)
}

// isLate reports whether the deadline of the request has passed.
func (e *exchange) isLate() bool {
	limit, err := strconv.Atoi(e.request.Header.Get(e.server.Headers.Deadline))
	return err == nil && time.Since(e.arrived) > time.Duration(limit)*time.Millisecond
}

// notRun returns the header line that says that a request was not run.
func (e *exchange) notRun() string {
	return e.server.Headers.NotRun + ": " + e.server.NotRunValue + "\r\n"
}

// name returns the header line that names a request.
func (e *exchange) name(id string) string {
	return e.server.Headers.RequestID + ": " + id + "\r\n"
}

// finish sends the response and what follows it, and reports whether the connection is kept.
func (e *exchange) finish(status int) bool {
	switch {
	case e.plan.End == EndLostByReset:
		e.conn.reset()
		return false
	case e.plan.End == EndSilent:
		_, _ = io.Copy(io.Discard, e.conn.reader)
		return false
	case e.plan.End == EndLost || e.plan.Action == ActionDrop:
		return false
	case e.conn.sendDue(BeforeNext) != nil || e.sendInterim() != nil:
		return false
	}
	text, start := e.response(status)
	if e.plan.End == EndCut || e.plan.End == EndCutByReset || e.plan.End == EndStalled {
		e.cut(text, start)
		return false
	}
	if e.conn.write(e.withFurther(text)) != nil {
		return false
	}
	if e.plan.End == EndReset {
		e.conn.reset()
	}
	if !e.isKept() {
		return false
	}
	e.laterFurther(text)
	return true
}

// cut sends a part of a response and ends the connection, or waits for its end. The body begins at start.
func (e *exchange) cut(text string, start int) {
	if start == len(text) {
		start = 0
	}
	_ = e.conn.write(text[:start+(len(text)-start)/2])
	if e.plan.End == EndStalled {
		_, _ = io.Copy(io.Discard, e.conn.reader)
		return
	}
	if e.plan.End == EndCutByReset || e.plan.Framing == ByClose {
		// An orderly close of a body without a length would look like its end.
		e.conn.reset()
	}
}

// isKept reports whether the connection stays open after a whole response.
func (e *exchange) isKept() bool {
	return e.plan.End == EndKept && (e.plan.Framing != ByClose || e.plan.Action != ActionRun)
}

func (e *exchange) sendInterim() error {
	return e.conn.write(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", e.plan.Interim))
}

// response returns the bytes of the response and where its body begins.
func (e *exchange) response(status int) (text string, start int) {
	header := e.header
	if e.plan.End == EndAnnounced {
		header += "Connection: close\r\n"
	}
	framing := e.plan.Framing
	if framing == ByClose && (e.plan.Action != ActionRun || status/100 != 2) {
		framing = ByLength
	}
	switch framing {
	case ByChunks:
		text = head(status, header+"Transfer-Encoding: chunked\r\n")
		start = len(text)
		for piece := range strings.SplitAfterSeq(e.body, "\n") {
			if piece != "" {
				text += fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
		}
		return text + "0\r\n\r\n", start
	case ByClose:
		text = head(status, header)
		return text + e.body, len(text)
	default:
		text = head(status, header+"Content-Length: "+strconv.Itoa(len(e.body))+"\r\n")
		return text + e.body, len(text)
	}
}

// withFurther adds the further bytes that are sent with the response.
func (e *exchange) withFurther(text string) string {
	response := text
	if !e.isKept() {
		return text
	}
	for _, f := range e.plan.Further {
		if f.Moment == AtOnce {
			text += e.further(f, response)
		}
	}
	return text
}

// laterFurther arranges the further bytes that are sent after the response.
func (e *exchange) laterFurther(response string) {
	for _, f := range e.plan.Further {
		switch f.Moment {
		case AtOnce:
		case AfterPause:
			bytes := e.further(f, response)
			// An error means that the connection has ended.
			time.AfterFunc(f.Pause, func() { _ = e.conn.write(bytes) })
		default:
			e.conn.due = append(e.conn.due, dueBytes{
				moment: f.Moment,
				bytes:  e.further(f, response),
			})
		}
	}
}

// further returns bytes that are sent after a response.
func (e *exchange) further(f Further, response string) string {
	header := ""
	if f.IsRejection {
		header = e.notRun()
	}
	switch f.Content {
	case Repeated:
		return response
	case NoResponse:
		return "\x00\x7fthese bytes are no response\r\n\r\n"
	case SameRequest:
		header += e.name(e.sent.ID)
	case OtherRequest:
		header += e.name("0" + e.sent.ID)
	default:
	}
	length := max(f.BodyBytes+f.LengthError, 0)
	return head(f.Status, fmt.Sprintf("%sContent-Length: %d\r\n", header, length)) + strings.Repeat("f", f.BodyBytes)
}
