package configuration

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// Transport carries envelopes to other routers. Send does not block and may lose
// envelopes.
type Transport interface {
	Send(router string, envelope *peerpb.Envelope)
}

// Syncer exchanges versions of the configuration between routers, so that only a few
// of them have to watch the platform. Set the fields before use.
type Syncer struct {
	Follower  *Follower
	Transport Transport
	// OnError is called if a version that another router sent can't be decoded.
	OnError func(error)
}

// OnVersion requests the version that another router announces, if it is newer. It is
// called with every announcement, which routers repeat: a request or response that is
// lost is thereby retried, and calls while a response is on its way do no harm.
func (s *Syncer) OnVersion(router string, version uint64) {
	after := s.version()
	if version <= after {
		return
	}
	s.Transport.Send(router, &peerpb.Envelope{
		ConfigurationAfter: &after,
	})
}

func (s *Syncer) version() uint64 {
	if current := s.Follower.Current(); current != nil {
		return uint64(current.Version)
	}
	return 0
}

// Receive handles an envelope from another router: it responds to a request for the
// configuration, and puts a newer configuration that it contains in force.
func (s *Syncer) Receive(from string, envelope *peerpb.Envelope) {
	if envelope.ConfigurationAfter != nil {
		s.respond(from, envelope.GetConfigurationAfter())
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

func (s *Syncer) respond(router string, after uint64) {
	object, ok := s.Follower.Object()
	if !ok || uint64(object.Version) <= after {
		return
	}
	s.Transport.Send(router, &peerpb.Envelope{
		ConfigurationObject: &peerpb.ConfigurationObject{
			Version: uint64(object.Version),
			Value:   object.Value,
		},
	})
}
