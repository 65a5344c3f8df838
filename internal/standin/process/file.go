package process

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"hornbeamwood/internal/settings/tomlfile"
)

// Kind is the kind of a stand-in.
type Kind string

const (
	// Engine starts a model engine.
	Engine Kind = "engine"
	// Service starts a plain service.
	Service Kind = "service"
	// Store starts a store VM.
	Store Kind = "store"
	// Weights starts a weight store.
	Weights Kind = "weights"
)

// File holds the TOML settings of one stand-in.
type File struct {
	// Identity names the backend server.
	Identity string `toml:"identity"`
	// Zone is its availability zone.
	Zone string `toml:"zone"`
	// Listen is the IP and port of its HTTP interface.
	Listen string `toml:"listen"`
	// Entries are the base URLs of the entries to which it announces itself.
	Entries []string `toml:"entries"`
	// AnnounceKey is the bearer key of backend servers.
	AnnounceKey string `toml:"announce-key"`
	// StartDelay delays the first announcement.
	StartDelay tomlfile.Duration `toml:"start-delay"`

	// Backoff makes the server refuse work at times and request a backoff.
	Backoff BackoffFile `toml:"backoff"`
	// Engine holds the settings of engines.
	Engine EngineFile `toml:"engine"`
	// Service holds the settings of plain services.
	Service ServiceFile `toml:"service"`
	// Store holds the settings of stores.
	Store StoreFile `toml:"store"`
	// Weights holds the settings of weight stores.
	Weights WeightsFile `toml:"weights"`
}

// BackoffFile is the backoff table of a File: a backoff of Time at the end of each Interval.
type BackoffFile struct {
	Interval tomlfile.Duration `toml:"interval"`
	Time     tomlfile.Duration `toml:"time"`
}

// EngineFile is the engine table of a File. Rates are in tokens a second, sizes in pieces and bytes.
type EngineFile struct {
	Models        []string          `toml:"models"`
	WeightVersion string            `toml:"weight-version"`
	Role          string            `toml:"role"`
	PrefillRate   float64           `toml:"prefill-rate"`
	DecodeRate    float64           `toml:"decode-rate"`
	MaxRunning    int               `toml:"max-running"`
	CachePieces   int               `toml:"cache-pieces"`
	PieceBytes    int               `toml:"piece-bytes"`
	ChecksFencing bool              `toml:"checks-fencing"`
	WeightStore   string            `toml:"weight-store"`
	ReportLag     tomlfile.Duration `toml:"report-lag"`
	EventLag      tomlfile.Duration `toml:"event-lag"`
	EventLoss     float64           `toml:"event-loss"`
	Seed          uint64            `toml:"seed"`
	Crashes       bool              `toml:"crashes"`
}

// ServiceFile is the service table of a File.
type ServiceFile struct {
	Names   []string          `toml:"names"`
	Delay   tomlfile.Duration `toml:"delay"`
	Crashes bool              `toml:"crashes"`
}

// StoreFile is the store table of a File.
type StoreFile struct {
	MemoryBytes int64   `toml:"memory-bytes"`
	DiskBytes   int64   `toml:"disk-bytes"`
	LinkRate    float64 `toml:"link-rate"`
}

// WeightsFile is the weights table of a File.
type WeightsFile struct {
	LoadTime       tomlfile.Duration `toml:"load-time"`
	FullSpeedLoads int               `toml:"full-speed-loads"`
	Versions       map[string]int    `toml:"versions"`
}

// Load reads the File at path; unknown keys are errors.
func Load(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	var f File
	if err := d.Decode(&f); err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}
