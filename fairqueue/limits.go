package fairqueue

// Limits bounds a queue; 0 sets no bound.
type Limits struct {
	MaxRequests int
	MaxBytes    int64
}

// fits reports whether a queue may hold that many requests and bytes. The operators' bound on the
// pool's waiting requests, which a request carries, applies too.
func (l *Limits) fits(requests, maxQueued int, bytes int64) bool {
	return (l.MaxRequests <= 0 || requests <= l.MaxRequests) &&
		(maxQueued <= 0 || requests <= maxQueued) &&
		(l.MaxBytes <= 0 || bytes <= l.MaxBytes)
}
