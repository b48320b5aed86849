package httpclient

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/slipwick/slipwick"
)

// maxPause is the longest pause that a backend server may ask for, so that a wrong value keeps
// requests away from it for minutes only and not forever. Overload lasts seconds to a few minutes.
const maxPause = 10 * time.Minute

// ParseNotice returns the notice in the status and header of a backend server's response. A server
// that leaves sets the header named leaving to value.
func ParseNotice(status int, header http.Header, leaving, value string) slipwick.Notice {
	return slipwick.Notice{
		Leaving: header.Get(leaving) == value,
		Pause:   requestedPause(status, header),
	}
}

// requestedPause returns how long the server wants no requests from this router, 0 for no pause:
// the Retry-After of a 503, either in seconds, with fractions, or as a date. The Retry-After of a
// 429 does not count because it concerns the caller and not the server.
func requestedPause(status int, header http.Header) time.Duration {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if status != http.StatusServiceUnavailable || text == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return min(max(time.Until(at), 0), maxPause)
}
