package tablefile

import (
	"context"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/routing"
)

// pollInterval is how often a watched file is read again. It is well below the time
// within which a changed configuration has to be in force.
const pollInterval = 500 * time.Millisecond

// Feed lists and watches the objects of one kind in a table file: the routing table, the backend
// servers or the evacuated data centres. A changed file is returned as a whole list, never as single
// changes.
type Feed struct {
	// Path is the path of the table file.
	Path string
	// entries returns the objects of the feed from the parsed file and its source.
	entries func(*File, []byte) ([]slipwick.FeedEntry, error)

	mu sync.Mutex
	// contentHash is the hash of the content that was read last, revision the
	// number of content changes so far, the first read included.
	contentHash uint64
	revision    uint64
}

// revisionOf returns the revision of the content, a new one if it differs from the last read.
func (f *Feed) revisionOf(source []byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hash := xxhash.Sum64(source); hash != f.contentHash || f.revision == 0 {
		f.contentHash = hash
		f.revision++
	}
	return f.revision
}

var _ slipwick.Feed = (*Feed)(nil)

// Tables returns a feed of the routing table in the file. It has one object, whose value is the
// file's source.
func Tables(path string) *Feed {
	return &Feed{
		Path: path,
		entries: func(_ *File, source []byte) ([]slipwick.FeedEntry, error) {
			return []slipwick.FeedEntry{
				{
					Name:  path,
					Value: source,
				},
			}, nil
		},
	}
}

// Backends returns a feed of the backend servers in the file.
func Backends(path string) *Feed {
	return &Feed{
		Path: path,
		entries: func(file *File, _ []byte) ([]slipwick.FeedEntry, error) {
			var entries []slipwick.FeedEntry
			for _, entry := range file.Backends() {
				value, err := json.Marshal(entry)
				if err != nil {
					return nil, errors.Wrap(err, "encode a backend server")
				}
				entries = append(entries, slipwick.FeedEntry{
					Name:  entry.ID,
					Value: value,
				})
			}
			return entries, nil
		},
	}
}

// Evacuations returns a feed of the evacuated data centres in the file. Its objects have
// names only, no values.
func Evacuations(path string) *Feed {
	return &Feed{
		Path: path,
		entries: func(file *File, _ []byte) ([]slipwick.FeedEntry, error) {
			var entries []slipwick.FeedEntry
			for _, name := range file.Evacuated {
				entries = append(entries, slipwick.FeedEntry{
					Name: name,
				})
			}
			return entries, nil
		},
	}
}

// DecodeEvacuation returns the data centre of an object of Evacuations: the object's name.
func DecodeEvacuation(name string, _ []byte) (string, error) {
	return name, nil
}

// DecodeTable decodes an object of Tables. The error is jsonfile.ValidationErrors.
func DecodeTable(name string, value []byte) (*routing.Table, error) {
	file, err := Parse(name, value)
	if err != nil {
		return nil, err
	}
	return file.Table(), nil
}

// DecodeBackend decodes an object of Backends.
func DecodeBackend(_ string, value []byte) (balance.Entry, error) {
	var entry balance.Entry
	err := json.Unmarshal(value, &entry)
	return entry, errors.Wrap(err, "decode a backend server")
}

// List reads the file. The revision rises with each change of the content that a read finds.
// The error is of KindInvalidConfiguration if the file can't be read or is invalid.
func (f *Feed) List(context.Context) (slipwick.FeedBatch, error) {
	source, err := os.ReadFile(f.Path)
	if err != nil {
		return slipwick.FeedBatch{}, invalidFileError(err)
	}
	file, err := Parse(f.Path, source)
	if err != nil {
		return slipwick.FeedBatch{}, invalidFileError(err)
	}
	entries, err := f.entries(file, source)
	return slipwick.FeedBatch{
		Entries:    entries,
		IsSnapshot: true,
		Revision:   f.revisionOf(source),
	}, err
}

// Watch reads the file every pollInterval until its revision differs from that of after, and once
// more when the wait is over. It returns the whole list, as List does.
func (f *Feed) Watch(ctx context.Context, after slipwick.Position, wait time.Duration) (slipwick.FeedBatch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for expired := false; ; {
		batch, err := f.List(ctx)
		if err != nil || expired || batch.Revision != after.Revision {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return slipwick.FeedBatch{}, ctx.Err()
		case <-deadline.C:
			expired = true
		case <-ticker.C:
		}
	}
}

func invalidFileError(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindInvalidConfiguration,
		Message: "the table file is not used; the last valid state stays in force",
		Remedy:  "correct the file",
		Cause:   cause,
	}
}
