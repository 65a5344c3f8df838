package membership

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Limits of the age up to which a server is eligible for new requests.
const (
	// DefaultAge is used if a Need has no age.
	DefaultAge = 2500 * time.Millisecond
	// MaxAge caps the age that settings may allow. A leaving server must get no new requests after three seconds; the remaining 200 ms cover the delivery of its announcement.
	MaxAge = 2800 * time.Millisecond
)

// Need holds the requirements of a request on a server.
type Need struct {
	// Kind is the required kind of the server.
	Kind announcement.Kind
	// Model, WeightVersion and Adapter must be those of one holding; they are compared for engines only.
	Model         string
	WeightVersion string
	Adapter       string
	// Service is the plain service that the server must run; it is compared for service servers only.
	Service string
	// Age is the largest age of the server's last announcement, at most MaxAge; zero means DefaultAge.
	Age time.Duration
	// EvacuatedZones are the availability zones whose servers get no requests.
	EvacuatedZones []string
}

func (n Need) age() time.Duration {
	if n.Age <= 0 {
		return DefaultAge
	}
	return min(n.Age, MaxAge)
}
