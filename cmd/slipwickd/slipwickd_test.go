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
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/platform"
	"github.com/slipwick/slipwick/standin"
)

const settings = `{
	// A router of the end-to-end test.
	"id": "r1", "data_centre": "dc",
	"listen": {"callers": "%s", "operators": "%s", "peers": "%s"},
	"platform": {"url": "%s"},
	"limits": {"announce": "10ms"},
}`

// TestOpenAIClientStreams streams a chat through the real binary with the
// OpenAI Go client, then stops the binary.
func TestOpenAIClientStreams(t *testing.T) {
	platformURL := startPlatform(t)
	address, process := startBinary(t, platformURL)
	client := openai.NewClient(option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey("secret"))
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		if !accumulated.AddChunk(stream.Current()) {
			t.Errorf("chunk %v does not fit the answer", stream.Current())
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

func startPlatform(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(standin.NewPlatform())
	t.Cleanup(server.Close)
	engine := httptest.NewServer(standin.NewEngine(standin.EngineProfile{}))
	t.Cleanup(engine.Close)
	keeper := &configuration.Keeper{
		Store: &platform.Client{
			BaseURL: server.URL,
			HTTP:    httpclient.New(),
		},
	}
	_, err := keeper.Apply(t.Context(), &configuration.State{
		Workspaces: []configuration.Workspace{
			{
				Name:      "w",
				KeyHashes: []string{configuration.HashKey("secret")},
			},
		},
		Pools: []configuration.Pool{
			{
				Name: "p",
				Kind: configuration.PoolEngine,
				Backends: []slipwick.Backend{
					{
						ID:         "e1",
						Address:    engine.Listener.Addr().String(),
						DataCentre: "dc",
					},
				},
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
	return server.URL
}

// startBinary builds and starts slipwickd and waits until it is ready.
func startBinary(t *testing.T, platformURL string) (callers string, process *exec.Cmd) {
	t.Helper()
	folder := t.TempDir()
	binary := filepath.Join(folder, "slipwickd")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	callers, operators := freeAddress(t), freeAddress(t)
	file := filepath.Join(folder, "router.jsonc")
	text := fmt.Sprintf(settings, callers, operators, freeAddress(t), platformURL)
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

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

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
			t.Fatal("slipwickd did not get ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
