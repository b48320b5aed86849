package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
)

func TestRoundTrip(t *testing.T) {
	want := Event{
		ID:   "r/0",
		Type: "outcome",
		Data: []byte("a\nb"),
	}
	var buffer bytes.Buffer
	if err := Write(&buffer, want); err != nil {
		t.Fatal(err)
	}
	got, err := NewReader(&buffer).Next()
	if err != nil {
		t.Fatal(err)
	}
	if got.ID != want.ID || got.Type != want.Type || !bytes.Equal(got.Data, want.Data) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestNextDropsIncompleteEvent(t *testing.T) {
	reader := NewReader(strings.NewReader(": comment\n\ndata: whole\n\ndata: cut\n"))
	got, err := reader.Next()
	if err != nil || string(got.Data) != "whole" {
		t.Fatalf("got %q, %v, want whole", got.Data, err)
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
}

// TestNextAcceptsEachLineEnd reads events whose lines end with LF, CR or CRLF, one byte per read.
// It guards against a CR without LF being read as part of the data: Write would write an event that
// is read back with other data. FuzzReader found this failure.
func TestNextAcceptsEachLineEnd(t *testing.T) {
	for _, end := range []string{"\n", "\r", "\r\n"} {
		input := strings.ReplaceAll("id: a\ndata: one\ndata: two\n\ndata:\n\n", "\n", end)
		reader := NewReader(iotest.OneByteReader(strings.NewReader(input)))
		first, err := reader.Next()
		if err != nil || first.ID != "a" || string(first.Data) != "one\ntwo" {
			t.Errorf("ends %q: got %q of %q, %v, want ID a and two lines of data", end, first.Data, first.ID, err)
		}
		second, err := reader.Next()
		if err != nil || len(second.Data) != 0 {
			t.Errorf("ends %q: got %q, %v, want an event without data", end, second.Data, err)
		}
		if _, err := reader.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("ends %q: got %v, want io.EOF", end, err)
		}
	}
}

// TestNextReturnsEventAtCR reads an event that ends with CRs and is followed by nothing: Next must
// return it without waiting to see whether an LF follows.
func TestNextReturnsEventAtCR(t *testing.T) {
	more := iotest.ErrReader(errors.New("read past the end of the event"))
	got, err := NewReader(io.MultiReader(strings.NewReader("data: whole\r\r"), more)).Next()
	if err != nil || string(got.Data) != "whole" {
		t.Errorf("got %q, %v, want whole", got.Data, err)
	}
}

func TestNextLimitsEventSize(t *testing.T) {
	for _, input := range []string{
		"data: " + strings.Repeat("x", MaxEventBytes) + "\n\n",
		strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaxEventBytes/1000+1) + "\n",
	} {
		if _, err := NewReader(strings.NewReader(input)).Next(); !errors.Is(err, ErrTooLong) {
			t.Errorf("got %v, want ErrTooLong", err)
		}
	}
}

// FuzzReader checks that any event that can be read keeps its ID and data when it is written and
// read again.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: a/1\ndata: {}\n\n"))
	f.Add([]byte("data\n\n:\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewReader(bytes.NewReader(input))
		for {
			event, err := reader.Next()
			if err != nil {
				return
			}
			var written bytes.Buffer
			if err := Write(&written, event); err != nil {
				t.Fatal(err)
			}
			again, err := NewReader(&written).Next()
			if err != nil || again.ID != event.ID || !bytes.Equal(again.Data, event.Data) {
				t.Errorf("got %+v, %v, want %+v", again, err, event)
			}
		}
	})
}

// TestEventOfEmptyLinesHasABound guards against a server whose lines without data, sent without end, are kept until the
// router has no memory left.
func TestEventOfEmptyLinesHasABound(t *testing.T) {
	for lines, want := range map[int]error{
		MaxEventBytes + 1: nil,
		MaxEventBytes + 2: ErrTooLong,
	} {
		reader := NewReader(strings.NewReader(strings.Repeat("data:\n", lines) + "\n"))
		event, err := reader.Next()
		if !errors.Is(err, want) {
			t.Errorf("%d empty lines: got error %v, want %v", lines, err, want)
		}
		if got := len(event.Data); err == nil && got != lines-1 {
			t.Errorf("%d empty lines: got %d bytes, want %d", lines, got, lines-1)
		}
	}
}
