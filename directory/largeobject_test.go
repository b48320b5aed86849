package directory

import (
	"bytes"
	"testing"

	"github.com/slipwick/slipwick"
)

// TestEncodingsCarryALargeObject encodes and decodes a configuration of eight megabytes.
func TestEncodingsCarryALargeObject(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 8<<20)
	for _, encoding := range []string{jsonType, protobufType} {
		var body bytes.Buffer
		err := encodeBatch(&body, encoding, &slipwick.FeedBatch{
			Entries: []slipwick.FeedEntry{
				{
					Name:  "main",
					Value: large,
				},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeBatch(&body, encoding)
		if err != nil || len(got.Entries) != 1 || !bytes.Equal(got.Entries[0].Value, large) {
			t.Errorf("%s: got %d entries, %v, want the object", encoding, len(got.Entries), err)
		}
	}
}
