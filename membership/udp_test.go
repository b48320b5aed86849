package membership

import (
	"bytes"
	"testing"
)

func TestPacketsWithWrongSignatureAreDropped(t *testing.T) {
	fleet := &UDP{
		Secret: []byte("the fleet's secret"),
	}
	stranger := &UDP{
		Secret: []byte("another secret"),
	}
	packet := []byte("news")
	signed := fleet.sign(packet)
	for _, tc := range []struct {
		name   string
		signed []byte
		want   bool
	}{
		{
			name:   "signed by the fleet",
			signed: signed,
			want:   true,
		},
		{
			name:   "signed with another secret",
			signed: stranger.sign(packet),
		},
		{
			name:   "changed",
			signed: append([]byte("N"), signed[1:]...),
		},
		{
			name:   "unsigned",
			signed: packet,
		},
	} {
		got, ok := fleet.verify(tc.signed)
		if ok != tc.want || (ok && !bytes.Equal(got, packet)) {
			t.Errorf("%s: got %q, %v, want %v", tc.name, got, ok, tc.want)
		}
	}
}
