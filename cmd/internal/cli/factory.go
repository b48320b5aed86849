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

// Factory creates the clients that commands use to call the platform and the routers.
type Factory struct {
	Streams Streams
	// Platform is the URL of the platform.
	Platform string
	// Routers are the operators addresses of routers or the metrics addresses of gateways, as host:port.
	Routers []string
}

// Register adds the flags that all commands share; parsing them sets the fields.
func (f *Factory) Register(app *kingpin.Application) {
	app.Flag("platform", "URL of the platform.").Envar("SLIPWICK_PLATFORM").
		Default("http://127.0.0.1:8500").StringVar(&f.Platform)
	app.Flag("router", "Operators address of a router, HOST:PORT; may be repeated.").
		Envar("SLIPWICK_ROUTERS").StringsVar(&f.Routers)
}

// Repository returns access to the configuration that the platform stores.
func (f *Factory) Repository() *configuration.Repository {
	return &configuration.Repository{
		Store: f.Store(),
	}
}

// Store returns a client of the platform.
func (f *Factory) Store() slipwick.Store {
	return &objectapi.Client{
		BaseURL: f.Platform,
		HTTP:    httpclient.New(),
	}
}

// RouterAddresses returns the addresses of the routers named with --router, or a usage error if
// there are none.
func (f *Factory) RouterAddresses() ([]string, error) {
	if len(f.Routers) == 0 {
		return nil, NewUsageError(fmt.Errorf("no router specified"), "add --router HOST:PORT or set SLIPWICK_ROUTERS")
	}
	return f.Routers, nil
}

// ReadRouter sends a GET request for path to the operators address of a router, or the metrics address
// of a gateway, and decodes the JSON response into the given value. It returns an error of
// slipwick.KindUnavailable if the response does not arrive within 5 s or has another status than 200.
func (f *Factory) ReadRouter(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	request, err := httpclient.Request(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := httpclient.New().Do(request)
	if err != nil {
		return routerUnavailable(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return routerUnavailable(address, fmt.Errorf("response status %s", response.Status))
	}
	return json.NewDecoder(response.Body).Decode(into)
}

func routerUnavailable(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "router " + address + " did not respond",
		Remedy:  "check its operators address and whether it is running",
		Cause:   cause,
	}
}
