package document

import "time"

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name identifies the service.
	Name string `cbor:"name"`
	// HealthPath is the path of health checks.
	HealthPath string `cbor:"health-path"`
	// MaxConnections is how many connections one server accepts from all entries together; zero for no limit.
	MaxConnections int `cbor:"max-connections"`
	// ColdRate is how many requests per second a server accepts while it is cold, which it is for ColdTime after
	// its start; zero for no limit.
	ColdRate float64 `cbor:"cold-rate,omitempty"`
	// ColdTime is how long a server stays cold.
	ColdTime time.Duration `cbor:"cold-time,omitempty"`
	// Engine is set when the servers are engines.
	Engine *Engine `cbor:"engine,omitempty"`
}
