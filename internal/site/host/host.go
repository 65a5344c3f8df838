package host

import "time"

// Host is what a process is told about its place at start; all of it may change while it runs.
type Host struct {
	// Name names the VM in logs.
	Name string
	// Zone is its availability zone.
	Zone string
	// Listen is the IP and port for operators and backend servers at a control replica, and for callers at an entry.
	Listen string
	// Ready is the IP and port that answers readiness checks at an entry.
	Ready string
	// Metrics is the IP and port that serves metrics.
	Metrics string
	// Internal is the IP and port for the system's own processes.
	Internal string
	// Seeds are the internal addresses of some control replicas.
	Seeds []string
	// FirstStart says that the site starts for the first time, with blank disks.
	FirstStart bool
	// DataFolder is where a control replica keeps its state.
	DataFolder string
	// MemoryBytes is the most memory that the process may use.
	MemoryBytes int64
	// Bounds are the site's promises.
	Bounds Bounds
}

// Bounds are the site's promises to its callers, servers and operators.
type Bounds struct {
	// Heartbeat is about how often a server announces itself.
	Heartbeat time.Duration
	// Grace is how long a process may run on after the signal to stop.
	Grace time.Duration
	// Lease is how long the giver of orders counts after its last sign of life.
	Lease time.Duration
	// WeightsDeadline is how long after new weights were named no request may begin on older ones; zero for no bound.
	WeightsDeadline time.Duration
	// RetryRatio is the part of a service's requests that may be repeated within RetryWindow.
	RetryRatio float64
	// RetryWindow is the span that repeats are counted in.
	RetryWindow time.Duration
	// RetrySlack is how many more repeats the whole fleet may make in RetryWindow.
	RetrySlack float64
}
