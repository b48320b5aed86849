package upstream

// requestWrite is the write of one request, which may continue while the response is read.
type requestWrite struct {
	// done is closed at the end of the write; err is its result from then on.
	done chan struct{}
	err  error
}

func newRequestWrite() *requestWrite {
	return &requestWrite{
		done: make(chan struct{}),
	}
}

// finish ends the write.
func (w *requestWrite) finish(err error) {
	w.err = err
	close(w.done)
}

// result returns the error of the write; finished is false while it is in progress.
func (w *requestWrite) result() (finished bool, err error) {
	select {
	case <-w.done:
		return true, w.err
	default:
		return false, nil
	}
}
