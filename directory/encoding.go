package directory

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/directory/directorypb"
)

// Encodings of a copy. Routers of before know JSON alone, and ask for none by name. A router that
// starts reads the entry of each backend server there is, which takes JSON several times as long.
const (
	jsonType     = "application/json"
	protobufType = "application/x-protobuf"
)

// encodingFor gives the encoding of the answer to a request.
func encodingFor(r *http.Request) string {
	if r.Header.Get("Accept") == protobufType {
		return protobufType
	}
	return jsonType
}

// encodeBatch writes a batch in an encoding.
func encodeBatch(w io.Writer, encoding string, batch *slipwick.FeedBatch) error {
	if encoding == jsonType {
		return json.NewEncoder(w).Encode(wireBatchOf(batch))
	}
	_, err := protodelim.MarshalTo(w, &directorypb.Batch{
		Entries:  uint32(len(batch.Entries)),
		Whole:    batch.Whole,
		Skipping: batch.Skipping,
		Timeline: batch.Timeline,
		Revision: batch.Revision,
	})
	for i := range batch.Entries {
		if err != nil {
			return err
		}
		_, err = protodelim.MarshalTo(w, &directorypb.Entry{
			Name:  batch.Entries[i].Name,
			Gone:  batch.Entries[i].Gone,
			Value: batch.Entries[i].Value,
		})
	}
	return err
}

// decodeBatch reads a batch in an encoding.
func decodeBatch(r io.Reader, encoding string) (slipwick.FeedBatch, error) {
	if encoding == protobufType {
		return decodeProtobuf(bufio.NewReader(r))
	}
	var wire wireBatch
	if err := json.NewDecoder(r).Decode(&wire); err != nil {
		return slipwick.FeedBatch{}, err
	}
	return wire.batch(), nil
}

// delimited reads messages as large as a copy may be: a configuration is one object.
var delimited = protodelim.UnmarshalOptions{
	MaxSize: maxCopyBytes,
}

// likelyEntries bounds the room made for entries before they have come.
const maxPreallocated = 16 << 10

func decodeProtobuf(r protodelim.Reader) (slipwick.FeedBatch, error) {
	var head directorypb.Batch
	if err := delimited.UnmarshalFrom(r, &head); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch := slipwick.FeedBatch{
		Entries:  make([]slipwick.FeedEntry, 0, min(head.GetEntries(), maxPreallocated)),
		Whole:    head.GetWhole(),
		Skipping: head.GetSkipping(),
		Timeline: head.GetTimeline(),
		Revision: head.GetRevision(),
	}
	for range head.GetEntries() {
		var entry directorypb.Entry
		if err := delimited.UnmarshalFrom(r, &entry); err != nil {
			return slipwick.FeedBatch{}, err
		}
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  entry.GetName(),
			Gone:  entry.GetGone(),
			Value: entry.GetValue(),
		})
	}
	return batch, nil
}
