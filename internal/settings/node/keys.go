package node

// Keys contains the paths of the PEM files for mutual TLS between the system's own processes.
type Keys struct {
	// Authority is the file with the certificates of the authorities that sign node certificates.
	Authority string `toml:"authority"`
	// Certificate is the file with this node's certificate.
	Certificate string `toml:"certificate"`
	// PrivateKey is the file with this node's private key.
	PrivateKey string `toml:"private-key"`
}
