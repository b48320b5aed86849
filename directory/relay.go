package directory

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

// RelayPath is where a router serves its copies to other routers, by name.
const RelayPath = "/feeds/"

// RelayServer serves copies of feeds to other routers. Set Mirrors before use.
type RelayServer struct {
	Mirrors map[string]*Mirror
}

// ServeHTTP answers a list, or with the query after a watch.
func (s *RelayServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mirror := s.Mirrors[r.URL.Path[min(len(RelayPath), len(r.URL.Path)):]]
	if mirror == nil {
		http.Error(w, "no such feed; ask for one that this router follows", http.StatusNotFound)
		return
	}
	var batch slipwick.FeedBatch
	var err error
	if query := r.URL.Query(); query.Has("after") {
		after, parseErr := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, waitErr := time.ParseDuration(query.Get("wait"))
		if parseErr != nil || waitErr != nil {
			http.Error(w, "after is no revision or wait is no time", http.StatusBadRequest)
			return
		}
		batch, err = mirror.Watch(r.Context(), after, min(wait, longestRelay))
	} else {
		batch, err = mirror.List(r.Context())
	}
	switch {
	case slipwick.IsKind(err, slipwick.KindHistoryLost):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		// A router that has left needs no answer.
		_ = json.NewEncoder(w).Encode(&batch)
	}
}

// Relay is the copy of a feed at another router.
type Relay struct {
	// Address is host:port of the router's peers' interface.
	Address string
	Name    string
	HTTP    *http.Client
}

var _ slipwick.Feed = (*Relay)(nil)

// List gives the whole copy.
func (r *Relay) List(ctx context.Context) (slipwick.FeedBatch, error) {
	return r.get(ctx, nil)
}

// Watch waits for changes of the copy, and lists it when the other router has
// forgotten the changes since the revision.
func (r *Relay) Watch(ctx context.Context, after uint64, wait time.Duration) (slipwick.FeedBatch, error) {
	batch, err := r.get(ctx, url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	})
	if slipwick.IsKind(err, slipwick.KindHistoryLost) {
		return r.List(ctx)
	}
	return batch, err
}

func (r *Relay) get(ctx context.Context, query url.Values) (slipwick.FeedBatch, error) {
	address := url.URL{
		Scheme:   "http",
		Host:     r.Address,
		Path:     RelayPath + r.Name,
		RawQuery: query.Encode(),
	}
	request, err := httpclient.Request(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	response, err := r.HTTP.Do(request)
	if err != nil {
		return slipwick.FeedBatch{}, unavailable(r.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return slipwick.FeedBatch{}, unavailable(r.Address, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return slipwick.FeedBatch{}, &slipwick.Error{
			Kind:    slipwick.KindHistoryLost,
			Message: "router " + r.Address + " does not remember the changes since the revision",
			Remedy:  "list again",
		}
	default:
		return slipwick.FeedBatch{}, unavailable(r.Address, nil)
	}
	var batch slipwick.FeedBatch
	if err := json.Unmarshal(body, &batch); err != nil {
		return slipwick.FeedBatch{}, unavailable(r.Address, err)
	}
	return batch, nil
}

func unavailable(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "no current copy at router " + address,
		Remedy:  "none; another router or the store is asked",
		Cause:   cause,
	}
}
