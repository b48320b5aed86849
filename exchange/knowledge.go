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

// KnowledgePath is where a router tells others what it knows of the caches of
// engines, as the question in the body says. It is told over TCP: a datagram that is
// lost would leave prompts without a home until they are read anew.
const KnowledgePath = "/homes"

// maxKnowledge bounds what is read of another router's answer: some times what
// the homes kept take.
const maxKnowledge = 4 << 20

// KnowledgeServer answers other routers. Set Balancer before use.
type KnowledgeServer struct {
	Balancer *balance.Balancer
}

// ServeHTTP answers with an encoded exchangepb.Knowledge.
func (s *KnowledgeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	message, err := readMessage(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k := s.Balancer.Knowledge(decodeQuestion(message))
	body, err := proto.Marshal(encodeKnowledge(&k))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A router that has left needs no answer.
	_, _ = w.Write(body)
}

// FetchKnowledge asks the router at host:port for what it knows.
func FetchKnowledge(
	ctx context.Context, client *http.Client, address string, q *balance.Question,
) (*balance.Knowledge, error) {
	question, err := proto.Marshal(encodeQuestion(q))
	if err != nil {
		return nil, errors.Wrap(err, "ask a router for the homes of prompts")
	}
	request, err := httpclient.Request(ctx, http.MethodPost, "http://"+address+KnowledgePath, question)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask a router for the homes of prompts")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("ask router %s for the homes of prompts: it answered %d", address, response.StatusCode)
	}
	return readKnowledge(response.Body)
}

func readKnowledge(from io.Reader) (*balance.Knowledge, error) {
	message, err := readMessage(from)
	if err != nil {
		return nil, err
	}
	return decodeKnowledge(message), nil
}

func readMessage(from io.Reader) (*exchangepb.Knowledge, error) {
	body, err := io.ReadAll(io.LimitReader(from, maxKnowledge))
	if err != nil {
		return nil, errors.Wrap(err, "read the homes of prompts")
	}
	message := &exchangepb.Knowledge{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, errors.Wrap(err, "read the homes of prompts")
	}
	return message, nil
}

// encodeQuestion names the engines that are known as covered, or those that are wanted as
// not covered. Routers of before, which read known ones alone, answer the latter with all.
func encodeQuestion(q *balance.Question) *exchangepb.Knowledge {
	message := &exchangepb.Knowledge{}
	for _, engine := range q.Known {
		message.Servers, message.Covered = append(message.Servers, engine), append(message.Covered, true)
	}
	for _, engine := range q.Wanted {
		message.Servers, message.Covered = append(message.Servers, engine), append(message.Covered, false)
	}
	return message
}

// decodeQuestion leaves out what does not fit together.
func decodeQuestion(message *exchangepb.Knowledge) *balance.Question {
	q := &balance.Question{}
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

func encodeKnowledge(k *balance.Knowledge) *exchangepb.Knowledge {
	message := &exchangepb.Knowledge{}
	place := make(map[uint64]uint32)
	at := func(engine uint64) uint32 {
		index, ok := place[engine]
		if !ok {
			index = uint32(len(message.GetServers()))
			place[engine] = index
			message.Servers = append(message.Servers, engine)
			message.Covered = append(message.Covered, false)
		}
		return index
	}
	for _, engine := range k.Covered {
		message.Covered[at(engine)] = true
	}
	for _, read := range k.Reads {
		message.Parts = append(message.Parts, read.Part)
		message.Keepers = append(message.Keepers, at(read.Server))
	}
	return message
}

// decodeKnowledge leaves out what does not fit together.
func decodeKnowledge(message *exchangepb.Knowledge) *balance.Knowledge {
	k := &balance.Knowledge{}
	servers := message.GetServers()
	for i, covered := range message.GetCovered() {
		if covered && i < len(servers) {
			k.Covered = append(k.Covered, servers[i])
		}
	}
	for i, part := range message.GetParts() {
		if i >= len(message.GetKeepers()) || int(message.GetKeepers()[i]) >= len(servers) {
			break
		}
		k.Reads = append(k.Reads, balance.Read{
			Part:   part,
			Server: servers[message.GetKeepers()[i]],
		})
	}
	return k
}
