package configuration

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// Link carries envelopes to other routers. Send does not block and may lose
// what it is given.
type Link interface {
	Send(router string, envelope *peerpb.Envelope)
}

// Sharing passes versions of the configuration on between routers, so that few
// of them have to watch the platform. Set the fields before use.
type Sharing struct {
	Follower *Follower
	Link     Link
	// OnError is told of a version that can't be taken.
	OnError func(error)
}

// OnVersion asks a router for the higher version that it says it has. It is
// safe to call again while an answer is on its way: news repeats itself.
func (s *Sharing) OnVersion(router string, version uint64) {
	after := s.version()
	if version <= after {
		return
	}
	s.Link.Send(router, &peerpb.Envelope{
		ConfigurationAfter: &after,
	})
}

func (s *Sharing) version() uint64 {
	if current := s.Follower.Current(); current != nil {
		return uint64(current.Version)
	}
	return 0
}

// Receive answers a router that asks, and takes what one sends.
func (s *Sharing) Receive(from string, envelope *peerpb.Envelope) {
	if envelope.ConfigurationAfter != nil {
		s.answer(from, envelope.GetConfigurationAfter())
	}
	object := envelope.GetConfigurationObject()
	if object == nil {
		return
	}
	err := s.Follower.Offer(slipwick.Object{
		Key:     ObjectKey,
		Value:   object.GetValue(),
		Version: slipwick.Version(object.GetVersion()),
	})
	if err != nil && s.OnError != nil {
		s.OnError(err)
	}
}

func (s *Sharing) answer(router string, after uint64) {
	object, ok := s.Follower.Object()
	if !ok || uint64(object.Version) <= after {
		return
	}
	s.Link.Send(router, &peerpb.Envelope{
		ConfigurationObject: &peerpb.ConfigurationObject{
			Version: uint64(object.Version),
			Value:   object.Value,
		},
	})
}
