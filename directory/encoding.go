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

// Encodings of a copy. Older routers support JSON only and send no Accept header for it. A
// router that starts decodes the entries of all backend servers, which takes several times as
// long in JSON as in protobuf.
const (
	jsonType     = "application/json"
	protobufType = "application/x-protobuf"
)

// encodingFor returns the encoding of the response to a request.
func encodingFor(r *http.Request) string {
	if r.Header.Get("Accept") == protobufType {
		return protobufType
	}
	return jsonType
}

// encodeBatch writes a batch in the given encoding.
func encodeBatch(w io.Writer, encoding string, batch *slipwick.FeedBatch) error {
	if encoding == jsonType {
		return json.NewEncoder(w).Encode(wireBatchOf(batch))
	}
	_, err := protodelim.MarshalTo(w, &directorypb.Batch{
		Entries:  uint32(len(batch.Entries)),
		Whole:    batch.IsSnapshot,
		Skipping: batch.IsCompacted,
		Timeline: batch.Timeline,
		Revision: batch.Revision,
	})
	for i := range batch.Entries {
		if err != nil {
			return err
		}
		_, err = protodelim.MarshalTo(w, &directorypb.Entry{
			Name:  batch.Entries[i].Name,
			Gone:  batch.Entries[i].Removed,
			Value: batch.Entries[i].Value,
		})
	}
	return err
}

// decodeBatch reads a batch in the given encoding.
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

// delimitedOptions accept messages as large as a whole copy, because a configuration is a single
// object.
var delimitedOptions = protodelim.UnmarshalOptions{
	MaxSize: maxCopyBytes,
}

// maxPreallocated bounds the entries for which memory is allocated before they arrive, since
// their number is the sender's claim.
const maxPreallocated = 16 << 10

func decodeProtobuf(r protodelim.Reader) (slipwick.FeedBatch, error) {
	var head directorypb.Batch
	if err := delimitedOptions.UnmarshalFrom(r, &head); err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch := slipwick.FeedBatch{
		Entries:     make([]slipwick.FeedEntry, 0, min(head.GetEntries(), maxPreallocated)),
		IsSnapshot:  head.GetWhole(),
		IsCompacted: head.GetSkipping(),
		Timeline:    head.GetTimeline(),
		Revision:    head.GetRevision(),
	}
	for range head.GetEntries() {
		var entry directorypb.Entry
		if err := delimitedOptions.UnmarshalFrom(r, &entry); err != nil {
			return slipwick.FeedBatch{}, err
		}
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:    entry.GetName(),
			Removed: entry.GetGone(),
			Value:   entry.GetValue(),
		})
	}
	return batch, nil
}
