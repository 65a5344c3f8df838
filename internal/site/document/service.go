package document

// Service is a group of equal backend servers.
type Service struct {
	// Name names the service.
	Name string `cbor:"name"`
	// HealthPath answers health probes.
	HealthPath string `cbor:"health-path"`
	// MaxConnections is how many connections one server takes from all entries together; zero for no limit.
	MaxConnections int `cbor:"max-connections"`
	// Engine is set when the servers are engines.
	Engine *Engine `cbor:"engine,omitempty"`
}
