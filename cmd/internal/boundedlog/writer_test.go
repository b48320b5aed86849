package boundedlog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a reader that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestWriterKeepsItsBudgetAndCountsWhatItDrops(t *testing.T) {
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
		out := &stuck{
			release: make(chan struct{}),
		}
		w := New(out)
		for range 2 * waitingLines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if got := w.Dropped.Load(); got < waitingLines-1 {
			t.Errorf("got %d dropped, want at least %d", got, waitingLines-1)
		}
		close(out.release)
		w.Close()
	})
}
