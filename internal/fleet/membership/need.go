package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Limits of the age up to which a server gets new work.
const (
	// DefaultAge is used when a Need names no age.
	DefaultAge = 2500 * time.Millisecond
	// MaxAge caps what the settings allow: a server that leaves must get no new work three seconds later, and the rest covers the way of its announcement.
	MaxAge = 2800 * time.Millisecond
)

// Need is what a request asks of a server.
type Need struct {
	// Kind is what the server must be.
	Kind announcement.Kind
	// Model, WeightVersion and Adapter must be held together; they are compared for engines only.
	Model         string
	WeightVersion string
	Adapter       string
	// Service is the plain service that must be run; it is compared for services only.
	Service string
	// Age is the largest age of the server's last announcement, at most MaxAge; zero means DefaultAge.
	Age time.Duration
}

func (n Need) age() time.Duration {
	if n.Age <= 0 {
		return DefaultAge
	}
	return min(n.Age, MaxAge)
}
