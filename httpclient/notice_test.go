package httpclient

import (
	"net/http"
	"testing"
	"time"
)

func TestParsePause(t *testing.T) {
	for _, test := range []struct {
		status int
		text   string
		want   time.Duration
	}{
		{http.StatusServiceUnavailable, "3", 3 * time.Second},
		{http.StatusServiceUnavailable, " 0.25 ", 250 * time.Millisecond},
		{http.StatusServiceUnavailable, "1e300", maxPause},
		{http.StatusServiceUnavailable, "Inf", maxPause},
		{http.StatusServiceUnavailable, "NaN", 0},
		{http.StatusServiceUnavailable, "-1", 0},
		{http.StatusServiceUnavailable, "soon", 0},
		{http.StatusServiceUnavailable, "", 0},
		{http.StatusServiceUnavailable, "Mon, 02 Jan 2006 15:04:05 GMT", 0},
		{http.StatusServiceUnavailable, "Fri, 31 Dec 9999 23:59:59 GMT", maxPause},
		{http.StatusTooManyRequests, "3", 0},
		{http.StatusOK, "3", 0},
	} {
		header := http.Header{}
		header.Set("Retry-After", test.text)
		if got := ParseNotice(test.status, header, "Leaving", "1").Pause; got != test.want {
			t.Errorf("%d with Retry-After %q: got %v, want %v", test.status, test.text, got, test.want)
		}
	}
}

func TestParseLeaving(t *testing.T) {
	for value, want := range map[string]bool{"1": true, "0": false, "true": false, "": false} {
		header := http.Header{}
		header.Set("Leaving", value)
		if got := ParseNotice(http.StatusOK, header, "Leaving", "1").Leaving; got != want {
			t.Errorf("value %q: got %t, want %t", value, got, want)
		}
	}
}
