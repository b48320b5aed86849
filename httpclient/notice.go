package httpclient

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/slipwick/slipwick"
)

// mostRest bounds the rest that a backend server may ask for: a mistaken figure leaves it
// without requests for minutes, not for good. Overload lasts seconds to a few minutes.
const mostRest = 10 * time.Minute

// NoticeIn reads what a backend server says of itself in an answer. One that leaves gives
// the header named leaving the value.
func NoticeIn(status int, header http.Header, leaving, value string) slipwick.Notice {
	return slipwick.Notice{
		Leaving: header.Get(leaving) == value,
		Rest:    restAsked(status, header),
	}
}

// restAsked gives for how long the sender of a refusal wants nothing from this router: the
// Retry-After of a 503, in seconds, fractions included, or as a date. 0 asks for none. A 429
// speaks of the caller, not of the server.
func restAsked(status int, header http.Header) time.Duration {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if status != http.StatusServiceUnavailable || text == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, mostRest.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	return min(max(time.Until(at), 0), mostRest)
}
