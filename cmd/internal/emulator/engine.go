package emulator

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/standin"
)

// runningEngine is an engine's stand-in on a loopback port.
type runningEngine struct {
	*standin.Engine

	id      string
	address string
	server  *http.Server
	// out says that the engine is lost or leaving.
	out atomic.Bool
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

// lose makes the engine vanish: its connections break and its port closes.
func (e *runningEngine) lose() {
	e.out.Store(true)
	_ = e.server.Close()
}

// serve serves the handler on a free loopback port.
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
