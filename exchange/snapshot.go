package exchange

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/httpclient"
)

// CacheSnapshotPath is the path at which a router responds to cache queries with a snapshot of its
// cache index, the parts of prompts that it knows engines to have cached. The response is sent over
// TCP: after a lost datagram, cached parts would stay unknown until an engine prefills them again.
const CacheSnapshotPath = "/homes"

// maxSnapshotSize bounds the bytes of an accepted query or response, at a few times the size of the
// snapshot of a full cache index.
const maxSnapshotSize = 4 << 20

// CacheSnapshotServer responds to cache queries of other routers. Set Balancer before use.
type CacheSnapshotServer struct {
	Balancer *balance.Balancer
}

// ServeHTTP responds to a query with an encoded exchangepb.Knowledge.
func (s *CacheSnapshotServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, err := readMessage(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	snapshot := s.Balancer.CacheSnapshot(decodeQuery(message))
	body, err := proto.Marshal(encodeSnapshot(&snapshot))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The write fails only if the other router is gone, which then needs no response.
	_, _ = w.Write(body)
}

// FetchCacheSnapshot queries the router at host:port for what it knows of the caches of engines. It
// blocks until the response arrives or ctx ends.
func FetchCacheSnapshot(
	ctx context.Context, client *http.Client, address string, q *balance.CacheQuery,
) (*balance.CacheSnapshot, error) {
	query, err := proto.Marshal(encodeQuery(q))
	if err != nil {
		return nil, errors.Wrap(err, "fetch the cache snapshot of a router")
	}
	request, err := httpclient.Request(ctx, http.MethodPost, "http://"+address+CacheSnapshotPath, query)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "fetch the cache snapshot of a router")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fetch the cache snapshot of router %s: unexpected status %d", address, response.StatusCode)
	}
	return readSnapshot(response.Body)
}

func readSnapshot(from io.Reader) (*balance.CacheSnapshot, error) {
	message, err := readMessage(from)
	if err != nil {
		return nil, err
	}
	return decodeSnapshot(message), nil
}

func readMessage(from io.Reader) (*exchangepb.Knowledge, error) {
	body, err := io.ReadAll(io.LimitReader(from, maxSnapshotSize))
	if err != nil {
		return nil, errors.Wrap(err, "read a cache query or snapshot")
	}
	message := &exchangepb.Knowledge{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, errors.Wrap(err, "read a cache query or snapshot")
	}
	return message, nil
}

// encodeQuery marks the known engines of a query as covered, or the wanted ones as not covered.
// Routers of an older version read only the known ones, and respond to a query for wanted engines
// with all that they know.
func encodeQuery(q *balance.CacheQuery) *exchangepb.Knowledge {
	message := &exchangepb.Knowledge{}
	for _, engine := range q.Known {
		message.Servers, message.Covered = append(message.Servers, engine), append(message.Covered, true)
	}
	for _, engine := range q.Wanted {
		message.Servers, message.Covered = append(message.Servers, engine), append(message.Covered, false)
	}
	return message
}

// decodeQuery stops at the first entry without a server.
func decodeQuery(message *exchangepb.Knowledge) *balance.CacheQuery {
	q := &balance.CacheQuery{}
	for i, covered := range message.GetCovered() {
		switch {
		case i >= len(message.GetServers()):
			return q
		case covered:
			q.Known = append(q.Known, message.GetServers()[i])
		default:
			q.Wanted = append(q.Wanted, message.GetServers()[i])
		}
	}
	return q
}

func encodeSnapshot(snapshot *balance.CacheSnapshot) *exchangepb.Knowledge {
	message := &exchangepb.Knowledge{}
	indexes := make(map[uint64]uint32)
	indexOf := func(engine uint64) uint32 {
		index, ok := indexes[engine]
		if !ok {
			index = uint32(len(message.GetServers()))
			indexes[engine] = index
			message.Servers = append(message.Servers, engine)
			message.Covered = append(message.Covered, false)
		}
		return index
	}
	for _, engine := range snapshot.Engines {
		message.Covered[indexOf(engine)] = true
	}
	for _, part := range snapshot.CachedParts {
		message.Parts = append(message.Parts, part.Part)
		message.Keepers = append(message.Keepers, indexOf(part.Server))
	}
	return message
}

// decodeSnapshot leaves out engines without an entry in the list of servers, and cached parts that have
// no engine or whose index is out of range.
func decodeSnapshot(message *exchangepb.Knowledge) *balance.CacheSnapshot {
	snapshot := &balance.CacheSnapshot{}
	servers := message.GetServers()
	for i, covered := range message.GetCovered() {
		if covered && i < len(servers) {
			snapshot.Engines = append(snapshot.Engines, servers[i])
		}
	}
	for i, part := range message.GetParts() {
		if i >= len(message.GetKeepers()) || int(message.GetKeepers()[i]) >= len(servers) {
			continue
		}
		snapshot.CachedParts = append(snapshot.CachedParts, balance.CachedPart{
			Part:   part,
			Server: servers[message.GetKeepers()[i]],
		})
	}
	return snapshot
}
