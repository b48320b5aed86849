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

// RelayPath is the path prefix at which a router serves its copies to other routers; the name
// of the feed follows.
const RelayPath = "/copies/"

// ageHeader has the age of a copy in milliseconds. It differs between routers that ask for the
// same changes, so it is not part of the cached body.
const ageHeader = "Slipwick-Age-Ms"

// loadingHeader has, in a 429 response, for how many milliseconds a list counts as under way at
// the responding router.
const loadingHeader = "Slipwick-Loading-Ms"

// hopsHeader has the number of routers between the store and the copy.
const hopsHeader = "Slipwick-Hops"

// stableForHeader has the batch's StableFor: for how many milliseconds the store has been known to
// respond without an outage or a restore from a backup.
const stableForHeader = "Slipwick-Steady-Ms"

// RelayServer is an HTTP handler that serves copies of feeds to other routers. Most of them ask
// for the same changes at the same moment, so each response is encoded and compressed once. Set
// Mirrors, by the names of the feeds, before use.
type RelayServer struct {
	Mirrors map[string]*Mirror

	mu      sync.Mutex
	encoded map[responseKey][]byte
	// sending is the number of large responses being sent.
	sending int
}

// responseKey identifies an encoded response by its content. The position does not suffice: a
// restored store assigns revisions again, and a list of several pages may hold changes after its
// revision.
type responseKey struct {
	encoding    string
	isSnapshot  bool
	isCompacted bool
	position    slipwick.Position
	entries     uint64
}

// maxEncodedResponses is how many encoded responses are cached: those of the feeds, as lists and as
// changes since a few revisions. Each is several times smaller than the copy.
const maxEncodedResponses = 16

// Of responses of at least largeResponseBytes, at most maxLargeSends are sent at the same time: on
// a slow link, more in parallel would all be late. A router that is refused finds others that
// have received theirs, so the number of routers with a copy grows by a factor with each list,
// and the time for all with the logarithm of the fleet.
const (
	largeResponseBytes = 64 << 10
	maxLargeSends      = 2
	// A list of at least largeListObjects counts as large before it is encoded, so that a refusal
	// costs little: when a fleet starts, hundreds of routers ask one router for a list at the
	// same moment and are refused.
	largeListObjects = 1024
)

// acquireSend reports whether a large response may be sent now. If so, call releaseSend after it.
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

// ServeHTTP responds to a list, or a watch if the query has "after". Both wait as long as the query
// says, within limits.
func (s *RelayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	feed := r.URL.Path[min(len(RelayPath), len(r.URL.Path)):]
	mirror := s.Mirrors[feed]
	if mirror == nil {
		http.Error(w, "unknown feed; request one that this router follows", http.StatusNotFound)
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
		s.writeResponse(w, encodingFor(r), &batch, isReserved)
	}
}

// relayQuery is another router's request for a copy or its changes.
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
	// Older routers request a list without a wait.
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
	// Older routers send no timeline.
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

// writeResponse writes a batch as the response. isReserved is true if the caller has already
// called acquireSend.
func (s *RelayServer) writeResponse(
	w http.ResponseWriter, encoding string, batch *slipwick.FeedBatch, isReserved bool,
) {
	body, err := s.encodeCached(responseKey{
		encoding:    encoding,
		isSnapshot:  batch.IsSnapshot,
		isCompacted: batch.IsCompacted,
		position:    batch.Position(),
		entries:     hashEntries(batch.Entries),
	}, batch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if len(body) >= largeResponseBytes && !isReserved {
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
	w.Header().Set(stableForHeader, strconv.FormatInt(batch.StableFor.Milliseconds(), 10))
	// An error means that the other router is gone and needs no response.
	_, _ = w.Write(body)
}

// refuseLoading responds with 429 and for how long a list counts as under way.
func refuseLoading(w http.ResponseWriter, err error) {
	var loading *slipwick.Error
	if errors.As(err, &loading) {
		w.Header().Set(loadingHeader, strconv.FormatInt(loading.RetryAfter.Milliseconds(), 10))
	}
	http.Error(w, err.Error(), http.StatusTooManyRequests)
}

// hashEntries returns a hash of the entries that does not depend on their order.
func hashEntries(entries []slipwick.FeedEntry) uint64 {
	var sum uint64
	var digest xxhash.Digest
	for _, e := range entries {
		digest.Reset()
		state := "\x00is\x00"
		if e.Removed {
			state = "\x00gone\x00"
		}
		// Writes to a digest never fail.
		_, _ = digest.WriteString(e.Name)
		_, _ = digest.WriteString(state)
		_, _ = digest.Write(e.Value)
		sum += digest.Sum64()
	}
	return sum
}

// encodeCached returns the compressed body of a response, from the cache if it is there.
func (s *RelayServer) encodeCached(key responseKey, batch *slipwick.FeedBatch) ([]byte, error) {
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
	if len(s.encoded) >= maxEncodedResponses || s.encoded == nil {
		s.encoded = make(map[responseKey][]byte, maxEncodedResponses)
	}
	s.encoded[key] = body.Bytes()
	return body.Bytes(), nil
}
