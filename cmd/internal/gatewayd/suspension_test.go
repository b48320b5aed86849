package gatewayd

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/clock"
)

// TestSuspensionIsLoggedOnce suspends the box of a process that gets no requests.
func TestSuspensionIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ahead atomic.Int64
		defer clock.SetSuspensionOffset(func() time.Duration { return time.Duration(ahead.Load()) })()
		var lines bytes.Buffer
		p := New(&Settings{}, Feeds{})
		p.Log = zerolog.New(&lines)
		p.seeds.Store(&[]string{})
		ctx, cancel := context.WithCancel(t.Context())
		go p.watchSuspension(ctx)
		time.Sleep(time.Second)
		ahead.Store(int64(5 * time.Second))
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if got := lines.String(); strings.Count(got, "box-suspended") != 1 || !strings.Contains(got, `"slept_ms":5000`) {
			t.Errorf("got log lines %q, want one with 5 s", got)
		}
	})
}
