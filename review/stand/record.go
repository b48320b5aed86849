package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:    file,
		out:     bufio.NewWriter(file),
		started: time.Now(),
	}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An error shows when the file is closed.
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the file and to the standard output.
func (r *record) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
