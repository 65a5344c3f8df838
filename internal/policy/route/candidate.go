package route

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Candidate is a backend server that can run the request, as seen by this entry.
type Candidate struct {
	// Identity is the identity of the backend server.
	Identity string
	// Load is the server's last load report.
	Load announcement.Load
	// ReportedAt is when the figures of Load were measured: the arrival time of the report minus
	// Load.AgeMillis.
	ReportedAt time.Time
	// InFlight is the work in flight without a first token, sent by this entry and, by their last
	// messages, by its peers.
	InFlight Work
	// SentSinceReport is the part of InFlight that was sent after ReportedAt.
	SentSinceReport Work
	// Suspect reports that the server may be lost; it is used only when no other server is left.
	Suspect bool
	// Reserve reports that the server is reserved for urgent requests while other servers can do
	// the work.
	Reserve bool
	// PriorityAware reports that the engine orders its queue by priority.
	PriorityAware bool
	// Exclusive reports that the server runs one request that must not share the server with
	// others.
	Exclusive bool
}
