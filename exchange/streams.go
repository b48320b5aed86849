package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/placement"
)

var _ slipwick.StreamSource = (*Streams)(nil)

const (
	// maxStreams bounds the streams whose origin one router remembers, of 120 bytes each. Those noted the longest
	// ago are forgotten first.
	maxStreams = 16384
	// streamKeepers is how many other routers are told the origin of a stream. rankedKeepers is how many are asked
	// for it, as the routers that were told may rank lower at a router that knows of others.
	streamKeepers = 2
	rankedKeepers = 4
	// originWait is how long to wait for the origin of a stream, originResend after what time those that haven't
	// answered are asked again.
	originWait   = 150 * time.Millisecond
	originResend = 40 * time.Millisecond
	// maxStreamSends bounds the datagrams on streams that a router sends within a second, other than answers.
	maxStreamSends = 1000
)

// Streams tells other routers where streams began, so that callers can take them up at any router, also when the one
// that forwarded the begin is gone. Rendezvous hashing chooses the routers that are told, in two data centres if
// possible. Set the exported fields before the first call.
type Streams struct {
	Self      string
	Transport Transport
	// Routers returns the live routers, with or without this one.
	Routers func() []slipwick.Router
	// Address returns the address at which a router receives datagrams.
	Address func(slipwick.Router) string
	// FleetSize returns the number of routers, those out of reach included; 0 if it is not known.
	FleetSize func() int

	mu      sync.Mutex
	origins *lru.LRU[uint64, uint32]
	// asked has those who wait for the origin of a stream.
	asked map[uint64][]chan originAnswer
	// sent counts the datagrams since secondAt.
	sent     int
	secondAt time.Time
}

// originAnswer is a router's answer about a stream; the origin is 0 if it doesn't know it.
type originAnswer struct {
	from   string
	origin uint32
}

// NewStreams returns the streams for the router with this ID. Set the other exported fields before the first call.
func NewStreams(self string) *Streams {
	// The error is for sizes below 1.
	origins, _ := lru.NewLRU[uint64, uint32](maxStreams, nil)
	return &Streams{
		Self:    self,
		origins: origins,
		asked:   make(map[uint64][]chan originAnswer),
	}
}

// NoteOrigin implements slipwick.StreamSource.
func (s *Streams) NoteOrigin(stream uint64, origin uint32) {
	s.remember(stream, origin)
	keepers := s.keepers(stream)
	for _, k := range keepers[:min(len(keepers), streamKeepers)] {
		s.sendBounded(k, &exchangepb.Told{
			From:          s.Self,
			Scope:         exchangepb.Scope_SCOPE_NONE,
			BegunStreams:  []uint64{stream},
			StreamOrigins: []uint32{origin},
		})
	}
}

// FindOrigin implements slipwick.StreamSource.
func (s *Streams) FindOrigin(ctx context.Context, stream uint64) (uint32, slipwick.OriginAnswer) {
	if origin := s.origin(stream); origin != 0 {
		return origin, slipwick.OriginKnown
	}
	keepers := s.keepers(stream)
	if len(keepers) == 0 && s.FleetSize() != 1 {
		return 0, slipwick.OriginUnanswered
	}
	answers := make(chan originAnswer, 2*rankedKeepers)
	s.mu.Lock()
	s.asked[stream] = append(s.asked[stream], answers)
	s.mu.Unlock()
	defer s.stopWaiting(stream, answers)
	s.ask(stream, keepers)
	resend, timeout := time.NewTimer(originResend), time.NewTimer(originWait)
	defer resend.Stop()
	defer timeout.Stop()
	for len(keepers) > 0 {
		select {
		case a := <-answers:
			if a.origin != 0 {
				s.remember(stream, a.origin)
				return a.origin, slipwick.OriginKnown
			}
			keepers = slices.DeleteFunc(keepers, func(k slipwick.Router) bool { return k.ID == a.from })
		case <-resend.C:
			s.ask(stream, keepers)
		case <-timeout.C:
			return 0, slipwick.OriginUnanswered
		case <-ctx.Done():
			return 0, slipwick.OriginUnanswered
		}
	}
	return 0, slipwick.OriginUnknown
}

// keepers returns the routers that may know the origin of a stream, without this one. The first streamKeepers of
// them are told, in different data centres if these routers are in several.
func (s *Streams) keepers(stream uint64) []slipwick.Router {
	ranked := placement.TopRouters(stream, s.Routers(), rankedKeepers)
	ranked = slices.DeleteFunc(slices.Clone(ranked), func(r slipwick.Router) bool { return r.ID == s.Self })
	for i := 1; i < len(ranked); i++ {
		if ranked[i].DataCentre != ranked[0].DataCentre {
			ranked[1], ranked[i] = ranked[i], ranked[1]
			break
		}
	}
	return ranked
}

func (s *Streams) ask(stream uint64, keepers []slipwick.Router) {
	for _, k := range keepers {
		s.sendBounded(k, &exchangepb.Told{
			From:         s.Self,
			Scope:        exchangepb.Scope_SCOPE_NONE,
			AskedStreams: []uint64{stream},
		})
	}
}

// sendBounded sends a datagram unless too many were sent within the second.
func (s *Streams) sendBounded(to slipwick.Router, message *exchangepb.Told) {
	s.mu.Lock()
	if now := clock.Now(); now.Sub(s.secondAt) >= time.Second {
		s.sent, s.secondAt = 0, now
	}
	s.sent++
	isAllowed := s.sent <= maxStreamSends
	s.mu.Unlock()
	if isAllowed {
		s.Transport.Send(s.Address(to), marshal(message))
	}
}

func (s *Streams) remember(stream uint64, origin uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.Add(stream, origin)
}

// origin returns the origin that this router remembers; 0 if it doesn't.
func (s *Streams) origin(stream uint64) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	origin, _ := s.origins.Get(stream)
	return origin
}

func (s *Streams) stopWaiting(stream uint64, answers chan originAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := slices.DeleteFunc(s.asked[stream], func(c chan originAnswer) bool { return c == answers })
	if s.asked[stream] = waiting; len(waiting) == 0 {
		delete(s.asked, stream)
	}
}

// pass passes an answer to all who wait for it.
func (s *Streams) pass(stream uint64, answer originAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, waiting := range s.asked[stream] {
		select {
		case waiting <- answer:
		default:
		}
	}
}

// receive handles a datagram of another router. It reports whether the datagram is one on streams.
func (s *Streams) receive(message *exchangepb.Told) bool {
	begun, asked, answered := message.GetBegunStreams(), message.GetAskedStreams(), message.GetAnsweredStreams()
	origins := message.GetStreamOrigins()
	for i := range min(len(begun), len(origins)) {
		if origins[i] != 0 {
			s.remember(begun[i], origins[i])
		}
	}
	for i := range min(len(answered), len(origins)) {
		s.pass(answered[i], originAnswer{
			from:   message.GetFrom(),
			origin: origins[i],
		})
	}
	for _, stream := range asked {
		s.reply(message.GetFrom(), stream)
	}
	return len(begun)+len(asked)+len(answered) > 0
}

// reply answers where a stream began.
func (s *Streams) reply(to string, stream uint64) {
	routers := s.Routers()
	i := slices.IndexFunc(routers, func(r slipwick.Router) bool { return r.ID == to })
	if i < 0 {
		return
	}
	s.Transport.Send(s.Address(routers[i]), marshal(&exchangepb.Told{
		From:            s.Self,
		Scope:           exchangepb.Scope_SCOPE_NONE,
		AnsweredStreams: []uint64{stream},
		StreamOrigins:   []uint32{s.origin(stream)},
	}))
}
