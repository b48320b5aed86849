package directory

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// TestEncodingsRoundTrip encodes and decodes random batches in each encoding.
func TestEncodingsRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		want := slipwick.FeedBatch{
			IsSnapshot:  rapid.Bool().Draw(r, "whole"),
			IsCompacted: rapid.Bool().Draw(r, "skipping"),
			Timeline:    rapid.Uint64().Draw(r, "timeline"),
			Revision:    rapid.Uint64().Draw(r, "revision"),
		}
		for i := range rapid.IntRange(0, 5).Draw(r, "entries") {
			e := slipwick.FeedEntry{
				Name:    fmt.Sprint(rapid.String().Draw(r, "name"), i),
				Removed: rapid.Bool().Draw(r, "gone"),
			}
			if !e.Removed {
				e.Value = rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(r, "value")
			}
			want.Entries = append(want.Entries, e)
		}
		for _, encoding := range []string{jsonType, protobufType} {
			var body bytes.Buffer
			if err := encodeBatch(&body, encoding, &want); err != nil {
				r.Fatal(err)
			}
			got, err := decodeBatch(&body, encoding)
			if len(got.Entries) == 0 {
				got.Entries = nil
			}
			if err != nil || !reflect.DeepEqual(got, want) {
				r.Errorf("%s: got %+v, %v, want %+v", encoding, got, err, want)
			}
		}
	})
}

// TestOlderRoutersGetJSON requests a copy with and without an Accept header. Older routers send
// none and support JSON only.
func TestOlderRoutersGetJSON(t *testing.T) {
	mirror := NewMirror()
	mirror.Apply(batch(3, true, "a1", "b1"))
	server := &RelayServer{
		Mirrors: map[string]*Mirror{
			"f": mirror,
		},
	}
	for accept, want := range map[string]string{
		"":           jsonType,
		protobufType: protobufType,
	} {
		request := httptest.NewRequest(http.MethodGet, RelayPath+"f", nil)
		request.Header.Set("Accept", accept)
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, request)
		response := recorder.Result()
		if got := response.Header.Get("Content-Type"); got != want {
			t.Errorf("accept %q: got %s, want %s", accept, got, want)
		}
		got, err := readBatch(response)
		if err != nil || len(got.Entries) != 2 {
			t.Errorf("accept %q: got %+v, %v, want two entries", accept, got, err)
		}
	}
}

// BenchmarkReadCopy measures how long a starting router takes to receive a copy of 10,000 backend
// servers.
func BenchmarkReadCopy(b *testing.B) {
	for _, encoding := range []string{jsonType, protobufType} {
		b.Run(encoding, func(b *testing.B) {
			mirror := NewMirror()
			snapshot := slipwick.FeedBatch{
				IsSnapshot: true,
				Revision:   1,
			}
			for i := range 10_000 {
				snapshot.Entries = append(snapshot.Entries, slipwick.FeedEntry{
					Name: fmt.Sprintf("s-%08x", i*2654435761),
					Value: fmt.Appendf(nil, `{"service":"pool","address":"10.%d.%d.%d:80","zone":"z","version":"v1",`+
						`"sequence":%d,"slots":16,"state":"ready","born":%d}`, i>>16, i>>8&255, i&255, i, 1_700_000_000_000+i),
				})
			}
			mirror.Apply(&snapshot)
			server := &RelayServer{
				Mirrors: map[string]*Mirror{
					"f": mirror,
				},
			}
			request := httptest.NewRequest(http.MethodGet, RelayPath+"f", nil)
			request.Header.Set("Accept", encoding)
			b.ReportAllocs()
			for b.Loop() {
				recorder := httptest.NewRecorder()
				server.ServeHTTP(recorder, request)
				if _, err := readBatch(recorder.Result()); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(recorder.Body.Len()), "wire-B")
			}
		})
	}
}
