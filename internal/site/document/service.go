package document

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name identifies the service.
	Name string `cbor:"name"`
	// HealthPath is the path of health checks.
	HealthPath string `cbor:"health-path"`
	// MaxConnections is how many connections one server accepts from all entries together; zero for no limit.
	MaxConnections int `cbor:"max-connections"`
	// Engine is set when the servers are engines.
	Engine *Engine `cbor:"engine,omitempty"`
}
