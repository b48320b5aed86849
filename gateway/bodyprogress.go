package gateway

import (
	"time"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/upstream"
)

// bodyProgress reads the body of a response and notes at the balancer that its server sends something.
type bodyProgress struct {
	call     *call
	lease    *balance.Lease
	response *upstream.Response
	// readAt is when the response began or the last part of its body was read.
	readAt time.Time
}

// Read implements io.Reader.
func (p *bodyProgress) Read(into []byte) (int, error) {
	n, err := p.response.Read(into)
	if n > 0 {
		p.readAt = clock.Now()
		p.call.gateway.Balancer.RecordActivity(p.lease)
	}
	return n, err
}

// recordHang counts a failure of the backend server if the deadline of the request ended the response while
// the server sent nothing for as long as it may take to start one. Its other responses may begin meanwhile,
// so that it doesn't count as unresponsive.
func (p *bodyProgress) recordHang() {
	if clock.Since(p.readAt) >= p.call.firstByteTimeout(p.lease) {
		p.call.gateway.Balancer.RecordOverdue(p.lease)
	}
}
