package boundedlog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(p)
}

func TestWriterEnforcesBudgetAndCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(&out)
		log := w.Logger()
		for range 3 * burstLines {
			log.Info().Msg("line")
		}
		time.Sleep(time.Second)
		log.Info().Msg("later")
		w.Close()
		if got, want := strings.Count(out.String(), "\n"), burstLines+1; got != want {
			t.Errorf("got %d lines, want %d", got, want)
		}
		if got, want := w.Dropped.Load(), int64(2*burstLines); got != want {
			t.Errorf("got %d dropped, want %d", got, want)
		}
	})
}

func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{
			release: make(chan struct{}),
		}
		w := New(out)
		for range 2 * bufferedLines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if got := w.Dropped.Load(); got < bufferedLines-1 {
			t.Errorf("got %d dropped, want at least %d", got, bufferedLines-1)
		}
		close(out.release)
		w.Close()
	})
}
