package directory

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// RelayPath is where a router serves its copies to other routers, by name.
const RelayPath = "/copies/"

// ageHeader tells the age of a copy in milliseconds: it differs between routers
// that ask for the same, so that it is not in the body.
const ageHeader = "Slipwick-Age-Ms"

// loadingHeader tells, beside 429, for how many milliseconds a list counts as under way.
const loadingHeader = "Slipwick-Loading-Ms"

// hopsHeader tells how many routers lie between the store and the copy.
const hopsHeader = "Slipwick-Hops"

// steadyHeader tells for how many milliseconds the store has been known to answer without a
// silence or a return from a copy.
const steadyHeader = "Slipwick-Steady-Ms"

// RelayServer serves copies of feeds to other routers. Most ask for the same
// changes at the same moment, so that an answer is encoded and compressed once.
// Set Mirrors before use.
type RelayServer struct {
	Mirrors map[string]*Mirror

	mu      sync.Mutex
	encoded map[answerKey][]byte
	// sending counts the large answers that are being sent.
	sending int
}

// relayKey names one answer by what it holds. Its position does not: a store that comes
// back from a copy gives revisions out again, and a list of several pages may hold more
// than its revision says.
type answerKey struct {
	encoding string
	whole    bool
	skipping bool
	position slipwick.Position
	entries  uint64
}

// encodedKept bounds the answers that are kept encoded: those of both feeds, as
// lists and since some revisions. Each is some times smaller than the copy.
const maxEncodedAnswers = 16

// largeAnswer is from which size on sendsAtOnce answers at most are sent at a time: on a
// small link those sent beside each other all come late. Who is turned away finds those that
// have got theirs, so that the number of routers that have a copy grows by a factor with each
// list, and the time for all with the logarithm of the fleet.
const (
	largeAnswerBytes = 64 << 10
	maxLargeSends    = 2
	// largeList is from how many objects on a list is large before it is made: when a fleet
	// starts, hundreds of routers ask one for it at the same moment, and are refused.
	largeListObjects = 1024
)

// beginSend tells whether a large answer may be sent now.
func (s *RelayServer) acquireSend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sending >= maxLargeSends {
		return false
	}
	s.sending++
	return true
}

func (s *RelayServer) releaseSend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending--
}

// ServeHTTP answers a list, or with the query after a watch; either waits as the
// query says.
func (s *RelayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	feed := r.URL.Path[min(len(RelayPath), len(r.URL.Path)):]
	mirror := s.Mirrors[feed]
	if mirror == nil {
		http.Error(w, "no such feed; ask for one that this router follows", http.StatusNotFound)
		return
	}
	query, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	isReserved := false
	if !query.watch {
		mirror.awaitCopy(r.Context(), query.wait)
		query.wait = 0
		if isReserved = mirror.Len() >= largeListObjects; isReserved {
			if !s.acquireSend() {
				refuseLoading(w, loadingError(storeRetryInterval))
				return
			}
			defer s.releaseSend()
		}
	}
	batch, err := query.ask(r.Context(), mirror)
	switch {
	case slipwick.IsKind(err, slipwick.KindHistoryLost):
		http.Error(w, err.Error(), http.StatusGone)
	case slipwick.IsKind(err, slipwick.KindOverloaded):
		refuseLoading(w, err)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		s.writeAnswer(w, encodingFor(r), &batch, isReserved)
	}
}

// question is what another router asks of a copy.
type relayQuery struct {
	watch bool
	after slipwick.Position
	wait  time.Duration
}

func parseQuery(r *http.Request) (relayQuery, error) {
	query := r.URL.Query()
	q := relayQuery{
		watch: query.Has("after"),
	}
	// Routers of before ask for a list without a wait.
	if query.Has("wait") {
		wait, err := time.ParseDuration(query.Get("wait"))
		if err != nil {
			return relayQuery{}, err
		}
		q.wait = min(wait, maxRelayWait)
	}
	if !q.watch {
		return q, nil
	}
	var err error
	if q.after.Revision, err = strconv.ParseUint(query.Get("after"), 10, 64); err != nil {
		return relayQuery{}, err
	}
	// Routers of before tell no timeline.
	if query.Has("timeline") {
		q.after.Timeline, err = strconv.ParseUint(query.Get("timeline"), 10, 64)
	}
	return q, err
}

func (q relayQuery) ask(ctx context.Context, mirror *Mirror) (slipwick.FeedBatch, error) {
	if q.watch {
		return mirror.Watch(ctx, q.after, q.wait)
	}
	return mirror.AwaitList(ctx, q.wait)
}

// answer sends a batch; isReserved says that it may be large.
func (s *RelayServer) writeAnswer(w http.ResponseWriter, encoding string, batch *slipwick.FeedBatch, isReserved bool) {
	body, err := s.encodeCached(answerKey{
		encoding: encoding,
		whole:    batch.Whole,
		skipping: batch.Skipping,
		position: batch.Position(),
		entries:  hashEntries(batch.Entries),
	}, batch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if len(body) >= largeAnswerBytes && !isReserved {
		if !s.acquireSend() {
			refuseLoading(w, loadingError(storeRetryInterval))
			return
		}
		defer s.releaseSend()
	}
	w.Header().Set("Content-Type", encoding)
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(hopsHeader, strconv.Itoa(batch.Hops))
	w.Header().Set(ageHeader, strconv.FormatInt(batch.Age.Milliseconds(), 10))
	w.Header().Set(steadyHeader, strconv.FormatInt(batch.Steady.Milliseconds(), 10))
	// A router that has left needs no answer.
	_, _ = w.Write(body)
}

// refuseForNow tells for how long a list is known to be under way.
func refuseLoading(w http.ResponseWriter, err error) {
	var loading *slipwick.Error
	if errors.As(err, &loading) {
		w.Header().Set(loadingHeader, strconv.FormatInt(loading.RetryAfter.Milliseconds(), 10))
	}
	http.Error(w, err.Error(), http.StatusTooManyRequests)
}

// hashOf gives a hash of the entries, in whatever order they stand.
func hashEntries(entries []slipwick.FeedEntry) uint64 {
	var sum uint64
	var digest xxhash.Digest
	for _, e := range entries {
		digest.Reset()
		state := "\x00is\x00"
		if e.Gone {
			state = "\x00gone\x00"
		}
		// A digest takes all that is written to it.
		_, _ = digest.WriteString(e.Name)
		_, _ = digest.WriteString(state)
		_, _ = digest.Write(e.Value)
		sum += digest.Sum64()
	}
	return sum
}

// encode gives the answer's body, compressed.
func (s *RelayServer) encodeCached(key answerKey, batch *slipwick.FeedBatch) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if body, ok := s.encoded[key]; ok {
		return body, nil
	}
	var body bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&body, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := encodeBatch(compressor, key.encoding, batch); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	if len(s.encoded) >= maxEncodedAnswers || s.encoded == nil {
		s.encoded = make(map[answerKey][]byte, maxEncodedAnswers)
	}
	s.encoded[key] = body.Bytes()
	return body.Bytes(), nil
}
