package node

import (
	"fmt"
	"os"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/tomlfile"
)

// File is the settings of one process.
type File struct {
	// Name is the process's identity, unique among all processes.
	Name string `toml:"name"`
	// Role says which program the file starts.
	Role Role `toml:"role"`
	// Zone is the availability zone.
	Zone string `toml:"zone"`
	// Region is the region, a group of availability zones with one control log.
	Region string `toml:"region"`
	// DataFolder is where a control replica keeps its files.
	DataFolder string `toml:"data-folder"`
	// LogFormat is the form of log lines, JSON when the file does not say.
	LogFormat LogFormat `toml:"log-format"`
	// BootstrapOperatorKeyDigest is the digest of the key that may edit a tree without operators.
	BootstrapOperatorKeyDigest digest.Digest `toml:"bootstrap-operator-key-digest"`
	// Listen holds the process's own addresses.
	Listen Listen `toml:"listen"`
	// Keys names the files of mutual TLS.
	Keys Keys `toml:"keys"`
	// Control lists the replicas of the control log, this one included.
	Control []Peer `toml:"control"`
	// Entries lists the entries, this one included or not.
	Entries []Peer `toml:"entries"`
}

// Load returns the checked File at path.
func Load(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("node file: %w", err)
	}
	return Parse(path, b)
}

// Parse returns the checked File that data holds; its errors name file, line and key.
func Parse(file string, data []byte) (File, error) {
	f, err := tomlfile.Decode[File](file, data)
	if err != nil {
		return File{}, err
	}
	if f.LogFormat == "" {
		f.LogFormat = JSON
	}
	if err := check(file, data, f).Err(); err != nil {
		return File{}, err
	}
	return f, nil
}
