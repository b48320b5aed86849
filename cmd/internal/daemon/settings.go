package daemon

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/jsonfile"
	"github.com/slipwick/slipwick/keyfiles"
	"github.com/slipwick/slipwick/stream"
)

// Settings is the content of a chat router's settings file.
type Settings struct {
	// ID is unique in the fleet.
	ID         string   `json:"id" validate:"required,max=100"`
	DataCentre string   `json:"data_centre" validate:"required"`
	Region     string   `json:"region"`
	Listen     Listen   `json:"listen"`
	Platform   Platform `json:"platform"`
	// Seeds are the listen.peers addresses of other routers. They let a router join the
	// fleet while the platform is down.
	Seeds  []string `json:"seeds" validate:"dive,hostname_port"`
	TLS    TLS      `json:"tls"`
	Limits Limits   `json:"limits"`
	Log    Log      `json:"log"`
}

// Listen holds the addresses that a router listens on for callers, operators and other routers, as
// host:port. Peers is used over TCP and UDP.
type Listen struct {
	Callers   string `json:"callers" validate:"required,hostname_port"`
	Operators string `json:"operators" validate:"required,hostname_port"`
	Peers     string `json:"peers" validate:"required,hostname_port"`
}

// Platform holds the URL of the platform's API.
type Platform struct {
	URL string `json:"url" validate:"required,url"`
}

// TLS names the certificate and key files. Connections without files are not encrypted.
type TLS struct {
	Callers *keyfiles.Files `json:"callers"`
	Peers   *keyfiles.Files `json:"peers"`
	// SecretFile is the path of a file whose content signs the membership packets. It has to be
	// the same at all routers and at least 16 bytes long.
	SecretFile string `json:"secret"`
}

// Limits holds the limits of requests and of the drain. Zero fields take the defaults.
type Limits struct {
	BodyBytes int64 `json:"body_bytes" validate:"min=0"`
	// HeaderBytes limits the heads of requests.
	HeaderBytes int64 `json:"header_bytes" validate:"min=0"`
	// MemoryMB limits the process' memory, in MiB, and FileDescriptors its open files and connections; 0 sets no limit
	// beside that of the system.
	MemoryMB        int64 `json:"memory_mb" validate:"min=0"`
	FileDescriptors int   `json:"file_descriptors" validate:"min=0"`
	// Idle limits how long a connection may be idle between requests, Read the time to read a request's body.
	Idle jsonfile.Duration `json:"idle" validate:"min=0"`
	Read jsonfile.Duration `json:"read" validate:"min=0"`
	// MaxSlotWait limits how long a request waits for a slot.
	MaxSlotWait jsonfile.Duration `json:"hold" validate:"min=0"`
	// FirstToken limits the wait for the first token of a chat, BetweenTokens the
	// wait between two tokens.
	FirstToken    jsonfile.Duration `json:"first_token" validate:"min=0"`
	BetweenTokens jsonfile.Duration `json:"between_tokens" validate:"min=0"`
	// Service bounds the time of a call to a plain service.
	Service jsonfile.Duration `json:"service" validate:"min=0"`
	// Write bounds the time of one write to a slow caller.
	Write jsonfile.Duration `json:"write" validate:"min=0"`
	// Announce is how long a draining router still accepts requests, so that
	// the load balancer sees that it is no longer ready.
	Announce jsonfile.Duration `json:"announce" validate:"min=0"`
	// Drain bounds the wait for requests in progress.
	Drain jsonfile.Duration `json:"drain" validate:"min=0"`
}

// Log holds the log level; empty means info.
type Log struct {
	Level string `json:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Defaults of Limits, and how often a broken stream is resumed.
const (
	defaultBodyBytes     = 1 << 20
	defaultHeaderBytes   = 64 << 10
	defaultIdle          = 2 * time.Minute
	defaultRead          = 30 * time.Second
	defaultMaxSlotWait   = 10 * time.Second
	defaultFirstToken    = 10 * time.Second
	defaultBetweenTokens = 5 * time.Second
	defaultService       = 30 * time.Second
	defaultWrite         = 10 * time.Second
	defaultAnnounce      = 2 * time.Second
	defaultDrain         = 5 * time.Minute
	maxResumes           = 3
)

// ReadSettings reads and checks a settings file. The error is jsonfile.ValidationErrors when the
// file could be read but is not valid.
func ReadSettings(path string) (*Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	document, err := jsonfile.Parse(path, source)
	if err != nil {
		return nil, err
	}
	settings := &Settings{}
	errs := document.Decode(settings)
	if peers := settings.TLS.Peers; len(errs) == 0 && peers != nil && peers.Authorities == "" {
		errs = append(errs, document.ErrorAt("/tls/peers/authorities", "missing or empty",
			"name the PEM file of the authority that signs the fleet's certificates"))
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return settings, nil
}

func (l *Limits) bodyBytes() int64 {
	if l.BodyBytes == 0 {
		return defaultBodyBytes
	}
	return l.BodyBytes
}

func (l *Limits) headerBytes() int64 {
	if l.HeaderBytes == 0 {
		return defaultHeaderBytes
	}
	return l.HeaderBytes
}

func (l *Limits) stream() stream.Limits {
	return stream.Limits{
		FirstToken:    l.FirstToken.Or(defaultFirstToken),
		BetweenTokens: l.BetweenTokens.Or(defaultBetweenTokens),
		Resumes:       maxResumes,
	}
}
