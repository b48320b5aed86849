package directory

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"testing"
)

// FuzzRelayedCopies checks that no copy sent by another router makes its receiver fail, or has a
// negative age or number of hops.
func FuzzRelayedCopies(f *testing.F) {
	f.Add([]byte(`{"entries":[{"name":"a","text":"x"},{"name":"b","gone":true}],"whole":true,"revision":7}`),
		jsonType, "12", "1")
	f.Add([]byte(`{}`), jsonType, "-5", "-1")
	f.Add([]byte("\x06\b\x02\x10\x01(\a\x06\n\x01a\x1a\x01x\x05\n\x01b\x10\x01"), protobufType, "12", "1")
	f.Fuzz(func(t *testing.T, body []byte, encoding, age, hops string) {
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		_, _ = w.Write(body)
		_ = w.Close()
		batch, err := readBatch(&http.Response{
			Header: http.Header{
				"Content-Type": {encoding},
				ageHeader:      {age},
				hopsHeader:     {hops},
			},
			Body: io.NopCloser(&packed),
		})
		if err != nil {
			return
		}
		if batch.Age < 0 || batch.Hops < 0 {
			t.Errorf("got an age of %v after %d hops, want neither negative", batch.Age, batch.Hops)
		}
		m := NewMirror()
		m.Apply(&batch)
	})
}
