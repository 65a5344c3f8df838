package node

import (
	"fmt"
	"os"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/tomlfile"
)

// File contains the settings of one process.
type File struct {
	// Name is the process's identity, unique among all processes.
	Name string `toml:"name"`
	// Role determines which program the file starts.
	Role Role `toml:"role"`
	// Zone is the availability zone.
	Zone string `toml:"zone"`
	// Region is the region, a group of availability zones with one control log.
	Region string `toml:"region"`
	// DataFolder is the folder in which a control replica stores its files.
	DataFolder string `toml:"data-folder"`
	// LogFormat is the format of log lines; the default is JSON.
	LogFormat LogFormat `toml:"log-format"`
	// BootstrapOperatorKeyDigest is the digest of the key that may edit a tree without operators.
	BootstrapOperatorKeyDigest digest.Digest `toml:"bootstrap-operator-key-digest"`
	// Listen contains the process's own addresses.
	Listen Listen `toml:"listen"`
	// Clients bounds what the process's clients may make it hold.
	Clients Clients `toml:"clients"`
	// Keys contains the paths of the files for mutual TLS.
	Keys Keys `toml:"keys"`
	// Control lists the replicas of the control log, including this process if it is one.
	Control []Peer `toml:"control"`
	// Entries lists the entries; this process may be among them.
	Entries []Peer `toml:"entries"`
}

// Load reads and validates the File at path.
func Load(path string) (File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("node file: %w", err)
	}
	return Parse(path, b)
}

// Parse decodes and validates data as a File; errors name the file, the line and the key.
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
