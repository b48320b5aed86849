package directory

import (
	"encoding/json"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

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
	body, err := proto.Marshal(protobufOf(batch))
	if err != nil {
		return err
	}
	_, err = w.Write(body)
	return err
}

// decodeBatch reads a batch in an encoding.
func decodeBatch(r io.Reader, encoding string) (slipwick.FeedBatch, error) {
	if encoding != protobufType {
		var wire wireBatch
		if err := json.NewDecoder(r).Decode(&wire); err != nil {
			return slipwick.FeedBatch{}, err
		}
		return wire.batch(), nil
	}
	body, err := io.ReadAll(r)
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	var wire directorypb.Batch
	if err := proto.Unmarshal(body, &wire); err != nil {
		return slipwick.FeedBatch{}, err
	}
	return batchOf(&wire), nil
}

func protobufOf(batch *slipwick.FeedBatch) *directorypb.Batch {
	wire := &directorypb.Batch{
		Entries:  make([]*directorypb.Entry, 0, len(batch.Entries)),
		Whole:    batch.Whole,
		Skipping: batch.Skipping,
		Timeline: batch.Timeline,
		Revision: batch.Revision,
	}
	for _, e := range batch.Entries {
		wire.Entries = append(wire.Entries, &directorypb.Entry{
			Name:  e.Name,
			Gone:  e.Gone,
			Value: e.Value,
		})
	}
	return wire
}

func batchOf(wire *directorypb.Batch) slipwick.FeedBatch {
	batch := slipwick.FeedBatch{
		Entries:  make([]slipwick.FeedEntry, 0, len(wire.GetEntries())),
		Whole:    wire.GetWhole(),
		Skipping: wire.GetSkipping(),
		Timeline: wire.GetTimeline(),
		Revision: wire.GetRevision(),
	}
	for _, e := range wire.GetEntries() {
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  e.GetName(),
			Gone:  e.GetGone(),
			Value: e.GetValue(),
		})
	}
	return batch
}
