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

// RelayClient is a feed that reads another router's copy over HTTP.
type RelayClient struct {
	// Address is the host:port at which the router serves its peers. FeedName is the name of
	// the feed.
	Address  string
	FeedName string
	HTTP     *http.Client
}

var _ slipwick.Feed = (*RelayClient)(nil)

// firstCopyWait is how long a list waits for a router that is starting too and has no copy yet.
const firstCopyWait = 150 * time.Millisecond

// List returns the whole copy.
func (r *RelayClient) List(ctx context.Context) (slipwick.FeedBatch, error) {
	return r.get(ctx, url.Values{
		"wait": {firstCopyWait.String()},
	})
}

// Watch waits for changes of the copy. If the other router has discarded the changes since the
// position, it lists the whole copy instead.
func (r *RelayClient) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
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

func (r *RelayClient) get(ctx context.Context, query url.Values) (slipwick.FeedBatch, error) {
	address := url.URL{
		Scheme:   "http",
		Host:     r.Address,
		Path:     RelayPath + r.FeedName,
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
			Message: "router " + r.Address + " no longer has the changes since the requested revision",
			Remedy:  "list again",
		}
	case http.StatusServiceUnavailable:
		return slipwick.FeedBatch{}, notCurrentError()
	case http.StatusTooManyRequests:
		// A missing or malformed header counts as 0.
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

// beginHookKey is the context key of a function that is called when another router's response
// begins.
type beginHookKey struct{}

func withBeginHook(ctx context.Context, onBegin func()) context.Context {
	return context.WithValue(ctx, beginHookKey{}, onBegin)
}

// notifyBegin calls the context's hook, if any.
func notifyBegin(ctx context.Context) {
	if onBegin, ok := ctx.Value(beginHookKey{}).(func()); ok {
		onBegin()
	}
}

// maxCopyAge and maxHops are the limits for what another router may claim of its copy: a year,
// and more routers than any fleet has.
const (
	maxCopyAge = 365 * 24 * time.Hour
	maxHops    = 10_000
)

// maxCopyBytes limits the uncompressed size of a copy. It is several times what the largest
// fleet that the design covers needs.
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
		return slipwick.FeedBatch{}, errors.Wrap(err, "missing or invalid header Slipwick-Age-Ms")
	}
	// Older routers send no hops. They follow the store or a router that does, so that at most
	// one router is between the store and their copy.
	hops, err := strconv.Atoi(response.Header.Get(hopsHeader))
	if err != nil {
		hops = 1
	}
	if age < 0 || age > maxCopyAge.Milliseconds() || hops < 0 || hops > maxHops {
		return slipwick.FeedBatch{}, errors.Errorf("implausible copy: age of %d ms, %d hops", age, hops)
	}
	// Older routers send neither this header nor timelines.
	stableFor, err := strconv.ParseInt(response.Header.Get(stableForHeader), 10, 64)
	if err != nil || stableFor < 0 || stableFor > maxCopyAge.Milliseconds() {
		stableFor = 0
	}
	batch.Age, batch.Hops = time.Duration(age)*time.Millisecond, hops+1
	batch.StableFor = time.Duration(stableFor) * time.Millisecond
	return batch, nil
}

func unavailableError(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "cannot get a current copy from router " + address,
		Remedy:  "none needed; another router or the store is asked instead",
		Cause:   cause,
	}
}
