package memory

import (
	"context"
	"sync/atomic"
	"time"
)

// Reservation counts the bytes that one request holds. It is safe for concurrent use, but nothing may
// be reserved during or after Release.
type Reservation struct {
	account *Account
	byUse   [useCount]atomic.Int64
}

// Held returns the bytes that the request holds.
func (r *Reservation) Held() int64 {
	sum := int64(0)
	for use := range r.byUse {
		sum += r.byUse[use].Load()
	}
	return sum
}

// Exceeds reports whether there is never room for so many bytes.
func (r *Reservation) Exceeds(bytes int64) bool {
	return r.account != nil && r.account.Limit > 0 && bytes > r.account.Limit
}

// TryGrow reserves bytes without blocking and reports whether there was room. For responses and
// streams a part of the account's limit is left free.
func (r *Reservation) TryGrow(use Use, bytes int64) bool {
	if r.account != nil && !r.account.tryAdd(bytes, use.optionalLimit(r.account.Limit)) {
		return false
	}
	r.count(use, bytes)
	return true
}

// Await reserves bytes, blocks for wait at most while there is no room, and reports whether it
// reserved them.
func (r *Reservation) Await(ctx context.Context, use Use, bytes int64, wait time.Duration) bool {
	if r.account != nil && !r.account.await(ctx, bytes, wait) {
		return false
	}
	r.count(use, bytes)
	return true
}

// Shrink gives bytes back.
func (r *Reservation) Shrink(use Use, bytes int64) {
	if bytes == 0 {
		return
	}
	r.count(use, -bytes)
	if r.account != nil {
		r.account.release(bytes)
	}
}

// Release gives back all that the request still holds.
func (r *Reservation) Release() {
	for use := range r.byUse {
		r.Shrink(Use(use), r.byUse[use].Load())
	}
}

func (r *Reservation) count(use Use, bytes int64) {
	r.byUse[use].Add(bytes)
	if r.account != nil {
		r.account.byUse[use].Add(bytes)
	}
}
