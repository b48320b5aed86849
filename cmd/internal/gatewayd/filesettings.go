package gatewayd

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/jsonfile"
	"github.com/slipwick/slipwick/tablefile"
)

// FileSettings are a gateway's settings as its own file has them.
type FileSettings struct {
	ID         string     `json:"id" validate:"required,max=100"`
	DataCentre string     `json:"data_centre" validate:"required"`
	Region     string     `json:"region"`
	Listen     FileListen `json:"listen"`
	// Seeds are peers' addresses of other gateways.
	Seeds []string `json:"seeds" validate:"dive,hostname_port"`
	// Table is the file with routes, pools and workspaces; a path that is not
	// absolute starts at the settings file's folder.
	Table   string      `json:"table" validate:"required"`
	Retries FileRetries `json:"retries"`
	Bounds  FileBounds  `json:"bounds"`
	// Grace bounds the time from the signal to stop to the end.
	Grace jsonfile.Duration `json:"grace" validate:"min=0"`
	// MemoryMB bounds the process' memory; 0 sets no bound.
	MemoryMB int64 `json:"memory_mb" validate:"min=0"`
}

// FileListen holds addresses as host:port.
type FileListen struct {
	Callers string `json:"callers" validate:"required,hostname_port"`
	// Ready answers at /readyz.
	Ready string `json:"ready" validate:"required,hostname_port"`
	// Peers takes TCP and UDP, and UDP at the next port too.
	Peers   string `json:"peers" validate:"required,hostname_port"`
	Metrics string `json:"metrics" validate:"omitempty,hostname_port"`
}

// FileRetries bounds the requests sent again by the whole fleet.
type FileRetries struct {
	Ratio  float64           `json:"ratio" validate:"min=0,max=1"`
	Extra  float64           `json:"extra" validate:"min=0"`
	Window jsonfile.Duration `json:"window" validate:"min=0"`
}

// FileBounds are what the fleet promises; what is left out takes its default.
type FileBounds struct {
	// LoadFactor and LoadSlack bound an engine's load: the factor times the
	// mean of its pool, and the slack, in requests.
	LoadFactor float64 `json:"load_factor" validate:"omitempty,gte=1,lte=10"`
	LoadSlack  float64 `json:"load_slack" validate:"omitempty,gte=1,lte=100"`
	// Apply bounds the time until a configuration is in force everywhere,
	// Leave that until a leaving backend server gets nothing new.
	Apply jsonfile.Duration `json:"apply" validate:"min=0"`
	Leave jsonfile.Duration `json:"leave" validate:"min=0"`
	// Evacuate bounds the time until the backend servers of an evacuated data
	// centre get nothing new.
	Evacuate jsonfile.Duration `json:"evacuate" validate:"min=0"`
	// ColdFactor times what a cold backend server of a pool bears, and ColdSlack,
	// is what it gets in any second.
	ColdFactor float64 `json:"cold_factor" validate:"omitempty,gte=1,lte=10"`
	ColdSlack  float64 `json:"cold_slack" validate:"min=0,max=100"`
	// Heartbeat is how often backend servers renew their entries, ReadyEvery
	// how often the balancer asks for readiness.
	Heartbeat  jsonfile.Duration `json:"heartbeat" validate:"min=0"`
	ReadyEvery jsonfile.Duration `json:"ready_every" validate:"min=0"`
}

// Defaults of FileSettings: a fifth of the requests may be sent again in ten
// seconds, and the grace period is that of common service managers.
const (
	defaultRatio  = 0.2
	defaultExtra  = 50
	defaultWindow = 10 * time.Second
	defaultGrace  = 30 * time.Second
	// defaultEvacuate is some times what a file takes to be read anew.
	defaultEvacuate = 4 * time.Second
)

// ReadFileSettings reads a settings file and checks the table that it names.
// The error is jsonfile.Mistakes when a file could be read but not accepted.
func ReadFileSettings(path string) (*Settings, Feeds, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, Feeds{}, errors.Wrap(err, "read settings")
	}
	document, err := jsonfile.Parse(path, source)
	if err != nil {
		return nil, Feeds{}, err
	}
	f := &FileSettings{}
	if mistakes := document.Decode(f); len(mistakes) > 0 {
		return nil, Feeds{}, mistakes
	}
	table := f.Table
	if !filepath.IsAbs(table) {
		table = filepath.Join(filepath.Dir(path), table)
	}
	source, err = os.ReadFile(table)
	if err != nil {
		return nil, Feeds{}, errors.Wrap(err, "read the table")
	}
	if _, err := tablefile.Parse(table, source); err != nil {
		return nil, Feeds{}, err
	}
	return f.settings(), Feeds{
		Tables:        tablefile.Tables(table),
		Backends:      tablefile.Backends(table),
		Evacuations:   tablefile.Evacuations(table),
		DecodeTable:   tablefile.DecodeTable,
		DecodeBackend: tablefile.DecodeBackend,

		DecodeEvacuation: tablefile.DecodeEvacuation,
		Private:          true,
	}, nil
}

func (f *FileSettings) settings() *Settings {
	s := &Settings{
		ID:         f.ID,
		DataCentre: f.DataCentre,
		Region:     f.Region,
		Seeds:      f.Seeds,
		Listen: Listen{
			Callers:   f.Listen.Callers,
			Ready:     f.Listen.Ready,
			ReadyPath: "/readyz",
			Peers:     f.Listen.Peers,
			Metrics:   f.Listen.Metrics,
		},
		Headers: gateway.DefaultHeaders(),
		Retries: Retries{
			Ratio:  f.Retries.Ratio,
			Extra:  f.Retries.Extra,
			Window: f.Retries.Window.Or(defaultWindow),
		},
		Bounds: Bounds{
			LoadFactor: f.Bounds.LoadFactor,
			LoadSlack:  f.Bounds.LoadSlack,
			Apply:      f.Bounds.Apply.Or(0),
			Leave:      f.Bounds.Leave.Or(0),
			Evacuate:   f.Bounds.Evacuate.Or(defaultEvacuate),
			ColdFactor: f.Bounds.ColdFactor,
			ColdSlack:  f.Bounds.ColdSlack,
			Heartbeat:  f.Bounds.Heartbeat.Or(0),
			ReadyEvery: f.Bounds.ReadyEvery.Or(0),
		},
		Grace:       f.Grace.Or(defaultGrace),
		MemoryBytes: f.MemoryMB << 20,
	}
	if f.Retries == (FileRetries{}) {
		s.Retries.Ratio, s.Retries.Extra = defaultRatio, defaultExtra
	}
	return s
}
