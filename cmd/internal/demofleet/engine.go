package demofleet

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/standin"
)

// runningEngine is a stand-in for an engine, with the server through which it
// serves on a loopback port.
type runningEngine struct {
	*standin.Engine

	id      string
	address string
	server  *http.Server
	// unusable says that the engine has crashed or is leaving.
	unusable atomic.Bool
}

func startEngine(id string, profile standin.EngineProfile) (*runningEngine, error) {
	e := &runningEngine{
		Engine: standin.NewEngine(profile),
		id:     id,
	}
	var err error
	e.server, e.address, err = serve(e.Engine)
	return e, err
}

// crash closes the engine's connections and its port.
func (e *runningEngine) crash() {
	e.unusable.Store(true)
	_ = e.server.Close()
}

// serve serves the handler on a free loopback port until the server is closed.
func serve(handler http.Handler) (server *http.Server, address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.Wrap(err, "listen on loopback")
	}
	server = &http.Server{
		Handler: handler,
	}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}
