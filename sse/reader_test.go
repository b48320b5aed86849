package sse

import (
	"bytes"
	"io"
	"strings"
	"testing"

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

func TestNextDropsACutEvent(t *testing.T) {
	reader := NewReader(strings.NewReader(": comment\n\ndata: whole\n\ndata: cut\n"))
	got, err := reader.Next()
	if err != nil || string(got.Data) != "whole" {
		t.Fatalf("got %q, %v, want whole", got.Data, err)
	}
	if _, err := reader.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
}

func TestNextBoundsAnEvent(t *testing.T) {
	for _, input := range []string{
		"data: " + strings.Repeat("x", MaxEventBytes) + "\n\n",
		strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", MaxEventBytes/1000+1) + "\n",
	} {
		if _, err := NewReader(strings.NewReader(input)).Next(); !errors.Is(err, ErrTooLong) {
			t.Errorf("got %v, want ErrTooLong", err)
		}
	}
}

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
