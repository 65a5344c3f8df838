package route

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Candidate is a backend server that can run the request, as this entry knows it.
type Candidate struct {
	// Identity names the backend server.
	Identity string
	// Load is the server's last report.
	Load announcement.Load
	// ReportedAt is when the figures of Load were true: the arrival less Load.AgeMillis.
	ReportedAt time.Time
	// InFlight is the work of this entry and of its peers, as last heard, that has no first token yet.
	InFlight Work
	// Since is the part of InFlight that was sent after ReportedAt.
	Since Work
	// Suspect says that the server may be lost; it is used only when no other is left.
	Suspect bool
	// Reserve says that the server is kept free for urgent requests while others can do the work.
	Reserve bool
	// PriorityAware says that the engine orders its queue by priority.
	PriorityAware bool
	// RunsAlone says that the server works on one request at a time that it must not share.
	RunsAlone bool
}
