package host

import (
	"time"

	"hornbeamwood/internal/node/inbound"
)

// Host holds a process's settings about its VM and its site. All of them may change while the process runs.
type Host struct {
	// Name is the name of the VM in logs.
	Name string
	// Zone is its availability zone.
	Zone string
	// Zones are all availability zones of the site, sorted; empty if they are unknown.
	Zones []string
	// Listen is the IP and port that a control replica serves operators and backend servers on, and an entry serves callers on.
	Listen string
	// Ready is the IP and port on which an entry answers readiness checks.
	Ready string
	// Metrics is the IP and port on which metrics are served.
	Metrics string
	// Internal is the IP and port for calls between the system's own processes.
	Internal string
	// Seeds are the internal addresses of some control replicas.
	Seeds []string
	// FirstStart is set if the site starts for the first time, with blank disks.
	FirstStart bool
	// DataFolder is the folder in which a control replica stores its state.
	DataFolder string
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Clients bounds what clients may make the process hold, where it differs from the defaults for the VM.
	Clients inbound.Bounds
	// Descriptors is how many file descriptors the process may have open, zero for no limit.
	Descriptors int
	// Bounds are the time bounds and retry limits of the site.
	Bounds Bounds
}

// Bounds are the time bounds and retry limits that the site guarantees to its callers, servers and operators.
type Bounds struct {
	// Heartbeat is the approximate interval at which a server announces itself.
	Heartbeat time.Duration
	// Grace is how long a process may keep running after the signal to stop.
	Grace time.Duration
	// Lease is how long the holder of the order lease keeps it without a renewal.
	Lease time.Duration
	// WeightsDeadline is how long after a target version of weights was set requests may still begin on older ones; zero for no bound.
	WeightsDeadline time.Duration
	// RetryRatio is the share of a service's requests that may be retried within RetryWindow.
	RetryRatio float64
	// RetryWindow is the time window in which retries are counted.
	RetryWindow time.Duration
	// RetrySlack is how many retries beyond that ratio the whole fleet may make in RetryWindow.
	RetrySlack float64
	// ColdFactor and ColdSlack bound the requests that all entries send to a cold server in any second: ColdFactor
	// times the rate that it accepts, and ColdSlack more. Zero for no bound.
	ColdFactor, ColdSlack float64
}
