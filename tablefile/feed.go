package tablefile

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/routing"
)

// pollEvery is how often a file is read anew: well within the time in which a
// changed configuration has to be in force.
const pollEvery = 500 * time.Millisecond

// Feed follows a file; each state of it is a list of its own.
type Feed struct {
	Path string
	// entries picks the objects out of the file.
	entries func(*File, []byte) ([]slipwick.FeedEntry, error)

	mu sync.Mutex
	// content is the hash of what was read last, revision the number of
	// different contents so far.
	content  uint64
	revision uint64
}

// revisionOf counts the contents that were read.
func (f *Feed) revisionOf(source []byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if content := xxhash.Sum64(source); content != f.content || f.revision == 0 {
		f.content = content
		f.revision++
	}
	return f.revision
}

var _ slipwick.Feed = (*Feed)(nil)

// Tables follows the table of a file.
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

// Backends follows the backend servers of a file.
func Backends(path string) *Feed {
	return &Feed{
		Path: path,
		entries: func(file *File, _ []byte) ([]slipwick.FeedEntry, error) {
			var entries []slipwick.FeedEntry
			for _, listed := range file.Backends() {
				value, err := json.Marshal(listed)
				if err != nil {
					return nil, errors.Wrap(err, "encode a backend server")
				}
				entries = append(entries, slipwick.FeedEntry{
					Name:  listed.ID,
					Value: value,
				})
			}
			return entries, nil
		},
	}
}

// Evacuations follows the data centres of a file that are evacuated.
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

// DecodeEvacuation reads an object of Evacuations.
func DecodeEvacuation(name string, _ []byte) (string, error) {
	return name, nil
}

// DecodeTable reads an object of Tables.
func DecodeTable(name string, value []byte) (*routing.Table, error) {
	file, err := Parse(name, value)
	if err != nil {
		return nil, err
	}
	return file.Table(), nil
}

// DecodeBackend reads an object of Backends.
func DecodeBackend(_ string, value []byte) (balance.Entry, error) {
	var listed balance.Entry
	err := json.Unmarshal(value, &listed)
	return listed, errors.Wrap(err, "decode a backend server")
}

// List reads the file. Its revision rises with each change of the content.
func (f *Feed) List(context.Context) (slipwick.FeedBatch, error) {
	source, err := os.ReadFile(f.Path)
	if err != nil {
		return slipwick.FeedBatch{}, unreadable(err)
	}
	file, err := Parse(f.Path, source)
	if err != nil {
		return slipwick.FeedBatch{}, unreadable(err)
	}
	entries, err := f.entries(file, source)
	return slipwick.FeedBatch{
		Entries:  entries,
		Whole:    true,
		Revision: f.revisionOf(source),
	}, err
}

// Watch reads the file until its content differs from the revision.
func (f *Feed) Watch(ctx context.Context, after slipwick.Position, wait time.Duration) (slipwick.FeedBatch, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for ended := false; ; {
		batch, err := f.List(ctx)
		if err != nil || ended || batch.Revision != after.Revision {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return slipwick.FeedBatch{}, ctx.Err()
		case <-end.C:
			ended = true
		case <-ticker.C:
		}
	}
}

func unreadable(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindInvalidConfiguration,
		Message: "the table file is out of use; the last good state stays in force",
		Remedy:  "mend the file",
		Cause:   cause,
	}
}

func pointer(field string, index int) string {
	return "/" + field + "/" + strconv.Itoa(index)
}
