package directory

import (
	"unicode/utf8"

	"github.com/slipwick/slipwick"
)

// wireBatch is the JSON form of a FeedBatch between routers. Values that are valid UTF-8 are
// sent as strings, which compress well.
type wireBatch struct {
	Entries    []wireEntry `json:"entries"`
	IsSnapshot bool        `json:"whole,omitempty"`
	// Older routers never send IsCompacted; they send a snapshot instead.
	IsCompacted bool `json:"skipping,omitempty"`
	// Older routers omit Timeline, and so do those whose store has none.
	Timeline uint64 `json:"timeline,omitempty"`
	Revision uint64 `json:"revision"`
}

// wireEntry is the JSON form of a FeedEntry. The value is in Text if it is valid UTF-8, else in
// Bytes.
type wireEntry struct {
	Name    string `json:"name"`
	Removed bool   `json:"gone,omitempty"`
	Text    string `json:"text,omitempty"`
	Bytes   []byte `json:"bytes,omitempty"`
}

func wireBatchOf(batch *slipwick.FeedBatch) *wireBatch {
	wire := &wireBatch{
		Entries:     make([]wireEntry, 0, len(batch.Entries)),
		IsSnapshot:  batch.IsSnapshot,
		IsCompacted: batch.IsCompacted,
		Timeline:    batch.Timeline,
		Revision:    batch.Revision,
	}
	for _, e := range batch.Entries {
		entry := wireEntry{
			Name:    e.Name,
			Removed: e.Removed,
		}
		if utf8.Valid(e.Value) {
			entry.Text = string(e.Value)
		} else {
			entry.Bytes = e.Value
		}
		wire.Entries = append(wire.Entries, entry)
	}
	return wire
}

func (w *wireBatch) batch() slipwick.FeedBatch {
	batch := slipwick.FeedBatch{
		IsSnapshot:  w.IsSnapshot,
		IsCompacted: w.IsCompacted,
		Timeline:    w.Timeline,
		Revision:    w.Revision,
	}
	for _, e := range w.Entries {
		entry := slipwick.FeedEntry{
			Name:    e.Name,
			Removed: e.Removed,
			Value:   e.Bytes,
		}
		if e.Text != "" {
			entry.Value = []byte(e.Text)
		}
		batch.Entries = append(batch.Entries, entry)
	}
	return batch
}
