package directory

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

// Relay is the copy of a feed at another router.
type Relay struct {
	// Address is host:port of the router's peers' interface.
	Address string
	Name    string
	HTTP    *http.Client
}

var _ slipwick.Feed = (*Relay)(nil)

// firstWait is how long a router that starts too may take to have a copy at all.
const firstCopyWait = 150 * time.Millisecond

// List gives the whole copy.
func (r *Relay) List(ctx context.Context) (slipwick.FeedBatch, error) {
	return r.get(ctx, url.Values{
		"wait": {firstCopyWait.String()},
	})
}

// Watch waits for changes of the copy, and lists it when the other router has
// forgotten the changes since the revision.
func (r *Relay) Watch(ctx context.Context, after slipwick.Position, wait time.Duration) (slipwick.FeedBatch, error) {
	batch, err := r.get(ctx, url.Values{
		"after":    {strconv.FormatUint(after.Revision, 10)},
		"timeline": {strconv.FormatUint(after.Timeline, 10)},
		"wait":     {wait.String()},
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
	request.Header.Set("Accept", protobufType)
	request.Header.Set("Accept-Encoding", "gzip")
	response, err := r.HTTP.Do(request)
	if err != nil {
		return slipwick.FeedBatch{}, unavailableError(r.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		notifyBegin(ctx)
	case http.StatusGone:
		return slipwick.FeedBatch{}, &slipwick.Error{
			Kind:    slipwick.KindHistoryLost,
			Message: "router " + r.Address + " does not remember the changes since the revision",
			Remedy:  "list again",
		}
	case http.StatusServiceUnavailable:
		return slipwick.FeedBatch{}, notCurrentError()
	case http.StatusTooManyRequests:
		// What is no number says nothing.
		left, _ := strconv.ParseInt(response.Header.Get(loadingHeader), 10, 64)
		return slipwick.FeedBatch{}, loadingError(min(time.Duration(left)*time.Millisecond, storeRetryInterval))
	default:
		return slipwick.FeedBatch{}, unavailableError(r.Address, nil)
	}
	batch, err := readBatch(response)
	if err != nil {
		return slipwick.FeedBatch{}, unavailableError(r.Address, err)
	}
	return batch, nil
}

// begunKey is the context's key of what is told that a router's answer with its copy begins.
type beginHookKey struct{}

func withBeginHook(ctx context.Context, onBegin func()) context.Context {
	return context.WithValue(ctx, beginHookKey{}, onBegin)
}

// tellBegun tells whoever waits for the answer that it begins.
func notifyBegin(ctx context.Context) {
	if onBegin, ok := ctx.Value(beginHookKey{}).(func()); ok {
		onBegin()
	}
}

// oldestCopy and mostHops bound what another router may say of its copy: one that is
// older than a year, or came over more routers than a fleet has, is not believed.
const (
	maxCopyAge = 365 * 24 * time.Hour
	maxHops    = 10_000
)

// maxCopyBytes bounds what is read of a copy: some times the largest that the
// size designed for needs.
const maxCopyBytes = 64 << 20

func readBatch(response *http.Response) (slipwick.FeedBatch, error) {
	reader, err := gzip.NewReader(response.Body)
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	batch, err := decodeBatch(io.LimitReader(reader, maxCopyBytes), response.Header.Get("Content-Type"))
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	age, err := strconv.ParseInt(response.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return slipwick.FeedBatch{}, errors.Wrap(err, "a copy without its age")
	}
	// Routers of before do not tell their hops; they follow the store or one that
	// does.
	hops, err := strconv.Atoi(response.Header.Get(hopsHeader))
	if err != nil {
		hops = 1
	}
	if age < 0 || age > maxCopyAge.Milliseconds() || hops < 0 || hops > maxHops {
		return slipwick.FeedBatch{}, errors.Errorf("a copy of %d ms after %d routers can't be", age, hops)
	}
	// Routers of before do not tell it, nor timelines.
	steady, err := strconv.ParseInt(response.Header.Get(steadyHeader), 10, 64)
	if err != nil || steady < 0 || steady > maxCopyAge.Milliseconds() {
		steady = 0
	}
	batch.Age, batch.Hops = time.Duration(age)*time.Millisecond, hops+1
	batch.Steady = time.Duration(steady) * time.Millisecond
	return batch, nil
}

func unavailableError(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "no current copy at router " + address,
		Remedy:  "none; another router or the store is asked",
		Cause:   cause,
	}
}
