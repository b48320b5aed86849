// Package boundedlog writes log lines without ever holding up who logs: lines
// beyond a budget, and lines that wait too many for a slow reader, are dropped
// and counted.
package boundedlog

import (
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/rs/zerolog"
)

const (
	// linesPerSecond and burstLines are the budget: a line takes some 10 µs of
	// processor time, so that the budget is about 1 ms of a second.
	linesPerSecond = 100
	burstLines     = 400
	// waitingLines bounds what waits to be written, about 300 bytes each.
	waitingLines = 1024
)

// Writer takes lines and writes them in its own time. It is also the sampler
// that keeps the budget. Make it with New.
type Writer struct {
	// Dropped counts lines that were not written.
	Dropped atomic.Int64

	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
}

var _ zerolog.Sampler = (*Writer)(nil)

// New makes a writer to out and starts it.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		lines:   make(chan []byte, waitingLines),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Sample tells whether the budget has room for a line.
func (w *Writer) Sample(zerolog.Level) bool {
	if w.limiter.Allow() {
		return true
	}
	w.Dropped.Add(1)
	return false
}

// Write takes a line; it does not block and does not fail.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.Dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			// There is nowhere to tell that a line of the log was lost.
			_, _ = w.out.Write(line)
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}

// Close writes what waits, and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// Done is closed when the writer has ended.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Logger makes a logger that keeps the budget.
func (w *Writer) Logger() zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Logger().Sample(w)
}
