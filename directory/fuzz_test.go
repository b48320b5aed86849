package directory

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"testing"
)

// FuzzRelayedCopies checks that no copy of another router breaks its reader, or is from
// the future.
func FuzzRelayedCopies(f *testing.F) {
	f.Add([]byte(`{"entries":[{"name":"a","text":"x"},{"name":"b","gone":true}],"whole":true,"revision":7}`), "12", "1")
	f.Add([]byte(`{}`), "-5", "-1")
	f.Fuzz(func(t *testing.T, body []byte, age, hops string) {
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		_, _ = w.Write(body)
		_ = w.Close()
		batch, err := readBatch(&http.Response{
			Header: http.Header{
				ageHeader:  {age},
				hopsHeader: {hops},
			},
			Body: io.NopCloser(&packed),
		})
		if err != nil {
			return
		}
		if batch.Age < 0 || batch.Hops < 0 {
			t.Errorf("got an age of %v after %d hops", batch.Age, batch.Hops)
		}
		m := NewMirror()
		m.Apply(&batch)
	})
}
