package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/objectapi"
)

const routerTimeout = 5 * time.Second

// Factory gives commands their way to the platform and the routers.
type Factory struct {
	Streams  Streams
	Platform string
	Routers  []string
}

// Register adds the flags that all commands share.
func (f *Factory) Register(app *kingpin.Application) {
	app.Flag("platform", "URL of the platform's service.").Envar("SLIPWICK_PLATFORM").
		Default("http://127.0.0.1:8500").StringVar(&f.Platform)
	app.Flag("router", "A router's operators address, HOST:PORT; may be repeated.").
		Envar("SLIPWICK_ROUTERS").StringsVar(&f.Routers)
}

// Keeper gives access to the configuration in the platform.
func (f *Factory) Keeper() *configuration.Repository {
	return &configuration.Repository{
		Store: f.Store(),
	}
}

// Store gives access to the platform.
func (f *Factory) Store() slipwick.Store {
	return &objectapi.Client{
		BaseURL: f.Platform,
		HTTP:    httpclient.New(),
	}
}

// RouterAddresses gives the routers named on the command line.
func (f *Factory) RouterAddresses() ([]string, error) {
	if len(f.Routers) == 0 {
		return nil, Usage(fmt.Errorf("no router is named"), "add --router HOST:PORT or set SLIPWICK_ROUTERS")
	}
	return f.Routers, nil
}

// ReadRouter reads a JSON answer from a router's operators address.
func (f *Factory) ReadRouter(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	request, err := httpclient.Request(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := httpclient.New().Do(request)
	if err != nil {
		return noRouter(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return noRouter(address, fmt.Errorf("answered %s", response.Status))
	}
	return json.NewDecoder(response.Body).Decode(into)
}

func noRouter(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "router " + address + " gave no answer",
		Remedy:  "check its operators address and that it runs",
		Cause:   cause,
	}
}
