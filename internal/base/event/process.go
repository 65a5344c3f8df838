package event

import "github.com/apex/log"

// Events of processes as a whole, 100 to 199.
var (
	// ProcessStarted is written when a process is ready to serve.
	ProcessStarted = define(100, log.InfoLevel, "process-started", "The process serves; its fields name the role, the addresses and the availability zone.")
	// ProcessStopping is written on the first signal.
	ProcessStopping = define(101, log.InfoLevel, "process-stopping", "A graceful stop has begun: the health check fails, running requests end.")
	// ProcessStopped is the last event before exit with status 0.
	ProcessStopped = define(102, log.InfoLevel, "process-stopped", "The process ends; no request was aborted unless the fields say so.")
)
