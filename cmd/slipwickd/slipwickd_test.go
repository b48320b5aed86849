package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/objectapi"
	"github.com/slipwick/slipwick/standin"

	"github.com/slipwick/slipwick/cmd/internal/loopback"
)

// routerSettings is the template of a router's settings file.
const routerSettings = `{
	// A router of the end-to-end test.
	"id": "%s", "data_centre": "dc",
	"listen": {"callers": "%s", "operators": "%s", "peers": "%s"},
	"platform": {"url": "%s"},
	"limits": {"announce": "100ms"},
	"log": {"level": "error"},
}`

// TestOpenAIClientStreams streams a chat through the slipwickd binary with the OpenAI Go client. The
// binary must then exit with code 0 after a SIGTERM.
func TestOpenAIClientStreams(t *testing.T) {
	_, platformURL := startPlatform(t, standin.NewEngine(standin.EngineProfile{}))
	address, process := startBinary(t, buildBinary(t), nil, "r1", platformURL)
	client := openai.NewClient(option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey("secret"))
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		if !accumulated.AddChunk(stream.Current()) {
			t.Errorf("chunk %v does not fit the response", stream.Current())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	got := accumulated.Choices[0].Message.Content
	if want := standin.Digest(`"hello"`); !strings.HasPrefix(got, want) {
		t.Errorf("got %q, want it to start with %q", got, want)
	}
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err != nil {
		t.Errorf("got %v after SIGTERM, want exit code 0", err)
	}
}

// startPlatform starts a stand-in for the platform, with a configuration of one pool of the engines.
func startPlatform(t *testing.T, engines ...*standin.Engine) (platform *standin.Platform, url string) {
	t.Helper()
	platform = standin.NewPlatform()
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	var backends []slipwick.Backend
	for i, e := range engines {
		engine := httptest.NewServer(e)
		t.Cleanup(engine.Close)
		backends = append(backends, slipwick.Backend{
			ID:         fmt.Sprintf("e%d", i),
			Address:    engine.Listener.Addr().String(),
			DataCentre: "dc",
		})
	}
	repository := &configuration.Repository{
		Store: &objectapi.Client{
			BaseURL: server.URL,
			HTTP:    httpclient.New(),
		},
	}
	_, err := repository.Apply(t.Context(), &configuration.State{
		Workspaces: []configuration.Workspace{
			{
				Name:      "w",
				KeyHashes: []string{configuration.HashKey("secret")},
			},
		},
		Pools: []configuration.Pool{
			{
				Name:     "p",
				Kind:     configuration.PoolEngine,
				Backends: backends,
			},
		},
		Rules: []configuration.Rule{
			{
				Workspace: "w",
				Model:     configuration.Any,
				Pool:      "p",
			},
		},
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return platform, server.URL
}

// buildBinary builds slipwickd and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "slipwickd")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// startBinary starts slipwickd and waits until it is ready. If a platform is given, it first adds the
// router to the platform's list of boxes.
func startBinary(
	t *testing.T, binary string, platform *standin.Platform, id, platformURL string,
) (callers string, process *exec.Cmd) {
	t.Helper()
	callers, operators, peers := freeAddress(t), freeAddress(t), freeAddress(t)
	file := filepath.Join(t.TempDir(), "router.jsonc")
	text := fmt.Sprintf(routerSettings, id, callers, operators, peers, platformURL)
	if platform != nil {
		platform.SetBox(slipwick.Box{
			ID:         id,
			Kind:       slipwick.BoxRouter,
			Address:    peers,
			DataCentre: "dc",
			State:      slipwick.BoxLive,
		})
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process = exec.CommandContext(t.Context(), binary, "--config", file)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	waitReady(t, "http://"+operators+"/readyz")
	return callers, process
}

// freeAddress returns a host:port on loopback that is free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 50 {
		listener, err := net.Listen("tcp", loopback.Host()+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if _, isGiven := givenAddresses.LoadOrStore(address, true); !isGiven {
			return address
		}
	}
	t.Fatal("found no free address that was not given before")
	return ""
}

// givenAddresses are the addresses that freeAddress returned: the system may choose a port again that was
// closed a moment ago and is not in use yet.
var givenAddresses sync.Map

// TestFreeAddressesDiffer guards against a process that does not start because another test process, or
// another of its own settings, has the same address.
func TestFreeAddressesDiffer(t *testing.T) {
	const draws = 2000
	given := make(map[string]bool)
	for range draws {
		address := freeAddress(t)
		if given[address] {
			t.Fatalf("got %s twice within %d draws", address, len(given)+1)
		}
		given[address] = true
	}
}

// waitReady polls the URL for 20 s until it responds with status 200.
func waitReady(t *testing.T, url string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		select {
		case <-ctx.Done():
			t.Fatal("slipwickd is not ready after 20 s")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
