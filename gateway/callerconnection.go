package gateway

import (
	"net/http"
	"time"

	"github.com/slipwick/slipwick"
)

// maxDiscardedBytes bounds the body of a refused request that is read and discarded so that its connection can be used
// again.
const maxDiscardedBytes = 64 << 10

// unboundConnection is used for connections that don't implement slipwick.CallerConnection.
type unboundConnection struct{}

func (unboundConnection) BeginBody()   {}
func (unboundConnection) EndBody()     {}
func (unboundConnection) StopReading() {}

// CallerConnection returns the connection over which a request arrived; it does nothing for connections that bound
// nothing. ConnContext has to be the hook of the server.
func CallerConnection(r *http.Request) slipwick.CallerConnection {
	if conn, ok := r.Context().Value(connKey{}).(slipwick.CallerConnection); ok {
		return conn
	}
	return unboundConnection{}
}

// writeRefusal writes a refusal of a request whose body may be unread. A large body isn't read: its connection is
// closed after the refusal.
func writeRefusal(w http.ResponseWriter, r *http.Request, refusal *Refusal) {
	if r.ContentLength < 0 || r.ContentLength > maxDiscardedBytes {
		w.Header().Set("Connection", "close")
		CallerConnection(r).StopReading()
	}
	// An error means that the writer does not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	refusal.write(w)
}

// WithoutBody returns a handler that leaves the bodies of requests unread and closes their connections.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			CallerConnection(r).StopReading()
		}
		next.ServeHTTP(w, r)
	})
}
