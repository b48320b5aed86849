// Package boundedlog writes log lines without ever blocking the caller. Lines
// that exceed a budget of lines per second, or that do not fit into the buffer
// because the output is slow, are dropped and counted.
package boundedlog

import (
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/rs/zerolog"
)

const (
	// linesPerSecond and burstLines are the budget: a line takes about 10 µs of
	// processor time, so 100 lines take about 1 ms of each second.
	linesPerSecond = 100
	burstLines     = 400
	// bufferedLines is the capacity of the buffer, in lines of about 300 bytes.
	bufferedLines = 1024
)

// Writer buffers lines and writes them to its output in the background. It is also the
// sampler that enforces the budget. Create it with New. Its methods may be called from
// several goroutines; Close only once.
type Writer struct {
	// Dropped counts the lines that exceeded the budget or did not fit into the buffer.
	Dropped atomic.Int64

	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
}

var _ zerolog.Sampler = (*Writer)(nil)

// New returns a started writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		lines:   make(chan []byte, bufferedLines),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Sample reports whether the budget allows another line, and counts the line as dropped if not.
func (w *Writer) Sample(zerolog.Level) bool {
	if w.limiter.Allow() {
		return true
	}
	w.Dropped.Add(1)
	return false
}

// Write buffers a copy of a line, or drops the line if the buffer is full. It does not block
// and returns no error.
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
			// There is no place to report that a log line could not be written.
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

// Close writes the buffered lines and stops the writer. It blocks until that is done.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// Done returns a channel that is closed when the writer has stopped.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}

// Logger returns a logger that writes to w within the budget.
func (w *Writer) Logger() zerolog.Logger {
	return zerolog.New(w).With().Timestamp().Logger().Sample(w)
}
