package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text file that says what was sent, answered and run.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		started: time.Now(),
		file:    file,
	}, nil
}

// add writes a line with the seconds since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, values...)
	// If the file cannot be written, the exit code still tells the result.
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), line)
}

// seconds returns the seconds from the start to a time.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.started).Seconds() }
