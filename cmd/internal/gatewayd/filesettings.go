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

// FileSettings are a gateway's settings as its settings file holds them.
type FileSettings struct {
	ID         string     `json:"id" validate:"required,max=100"`
	DataCentre string     `json:"data_centre" validate:"required"`
	Region     string     `json:"region"`
	Listen     FileListen `json:"listen"`
	// Seeds are the addresses (FileListen.Peers) of other gateways.
	Seeds []string `json:"seeds" validate:"dive,hostname_port"`
	// Table is the file with routes, pools and workspaces; a relative path is
	// relative to the directory of the settings file.
	Table   string      `json:"table" validate:"required"`
	Retries FileRetries `json:"retries"`
	Bounds  FileBounds  `json:"bounds"`
	// Admission is off unless set; see AdmissionMode.
	Admission AdmissionMode `json:"admission" validate:"omitempty,oneof=off on auto"`
	// GracePeriod bounds the time from the stop signal to the end of the process.
	GracePeriod jsonfile.Duration `json:"grace" validate:"min=0"`
	// MemoryMB limits the process' memory, in MiB; 0 sets no limit.
	MemoryMB int64 `json:"memory_mb" validate:"min=0"`
	// FileDescriptors limits the open files and connections; 0 stands for the limit of the system.
	FileDescriptors int `json:"file_descriptors" validate:"min=0"`
}

// FileListen holds addresses as host:port.
type FileListen struct {
	Callers string `json:"callers" validate:"required,hostname_port"`
	// Ready serves readiness probes at /readyz.
	Ready string `json:"ready" validate:"required,hostname_port"`
	// Peers listens on TCP and UDP, and on UDP at the next port too.
	Peers   string `json:"peers" validate:"required,hostname_port"`
	Metrics string `json:"metrics" validate:"omitempty,hostname_port"`
}

// FileRetries limits the retries of the whole fleet: Ratio of the requests within Window,
// plus Extra.
type FileRetries struct {
	Ratio  float64           `json:"ratio" validate:"min=0,max=1"`
	Extra  float64           `json:"extra" validate:"min=0"`
	Window jsonfile.Duration `json:"window" validate:"min=0"`
}

// FileBounds are the limits that the fleet guarantees, as in Bounds; fields that are left
// out take their defaults.
type FileBounds struct {
	// LoadFactor and LoadSlack bound an engine's load: LoadFactor times the mean
	// load of its pool, plus LoadSlack requests.
	LoadFactor float64 `json:"load_factor" validate:"omitempty,gte=1,lte=10"`
	LoadSlack  float64 `json:"load_slack" validate:"omitempty,gte=1,lte=100"`
	// ApplyTime bounds the time until a configuration is in force everywhere,
	// LeaveTime that until a leaving backend server gets no new requests.
	ApplyTime jsonfile.Duration `json:"apply" validate:"min=0"`
	LeaveTime jsonfile.Duration `json:"leave" validate:"min=0"`
	// EvacuationTime bounds the time until the backend servers of an evacuated data
	// centre get no new requests.
	EvacuationTime jsonfile.Duration `json:"evacuate" validate:"min=0"`
	// ColdFactor and ColdSlack bound the requests that a cold backend server gets in any
	// second: ColdFactor times the rate that its pool allows for one, plus ColdSlack.
	ColdFactor float64 `json:"cold_factor" validate:"omitempty,gte=1,lte=10"`
	ColdSlack  float64 `json:"cold_slack" validate:"min=0,max=100"`
	// Heartbeat is the interval at which backend servers renew their entries,
	// ReadyInterval the interval at which the load balancer probes readiness.
	Heartbeat     jsonfile.Duration `json:"heartbeat" validate:"min=0"`
	ReadyInterval jsonfile.Duration `json:"ready_every" validate:"min=0"`
}

// Defaults of FileSettings: a fifth of the requests within ten seconds may be retried, plus 50.
// The grace period is the usual time between a service manager's request to stop and its kill.
const (
	defaultRatio  = 0.2
	defaultExtra  = 50
	defaultWindow = 10 * time.Second
	defaultGrace  = 30 * time.Second
	// defaultEvacuationTime is several times the time until a changed file is read again.
	defaultEvacuationTime = 4 * time.Second
)

// ReadFileSettings reads a settings file and checks the table file that it names.
// It returns jsonfile.ValidationErrors if a file can be read but is not valid.
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
	if errs := document.Decode(f); len(errs) > 0 {
		return nil, Feeds{}, errs
	}
	table := f.Table
	if !filepath.IsAbs(table) {
		table = filepath.Join(filepath.Dir(path), table)
	}
	source, err = os.ReadFile(table)
	if err != nil {
		return nil, Feeds{}, errors.Wrap(err, "read table")
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
		Headers:   gateway.DefaultHeaders(),
		Admission: f.Admission,
		Retries: Retries{
			Ratio:  f.Retries.Ratio,
			Extra:  f.Retries.Extra,
			Window: f.Retries.Window.Or(defaultWindow),
		},
		Bounds: Bounds{
			LoadFactor:     f.Bounds.LoadFactor,
			LoadSlack:      f.Bounds.LoadSlack,
			ApplyTime:      f.Bounds.ApplyTime.Or(0),
			LeaveTime:      f.Bounds.LeaveTime.Or(0),
			EvacuationTime: f.Bounds.EvacuationTime.Or(defaultEvacuationTime),
			ColdFactor:     f.Bounds.ColdFactor,
			ColdSlack:      f.Bounds.ColdSlack,
			Heartbeat:      f.Bounds.Heartbeat.Or(0),
			ReadyInterval:  f.Bounds.ReadyInterval.Or(0),
		},
		GracePeriod: f.GracePeriod.Or(defaultGrace),
		MemoryBytes: f.MemoryMB << 20,

		FileDescriptors: f.FileDescriptors,
	}
	if f.Retries == (FileRetries{}) {
		s.Retries.Ratio, s.Retries.Extra = defaultRatio, defaultExtra
	}
	return s
}
