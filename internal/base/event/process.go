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
	// ProcessFailed is written when a process can't go on.
	ProcessFailed = define(103, log.ErrorLevel, "process-failed", "The process can't go on, the error says why; it ends what it runs and starts anew in the same operating system process after retry-ms. Failures counts them since that process began.")
	// ProcessCrashed is written at the start after a crash.
	ProcessCrashed = define(104, log.ErrorLevel, "process-crashed", "The process before this one was ended by a panic or by the runtime; error is the first line of its report, at the position in the code.")
	// CrashNotKept is written when the report of a crash will only be on the standard error output.
	CrashNotKept = define(105, log.WarnLevel, "crash-not-kept", "The report of a crash can't be kept for the next start; it would only be on the standard error output.")
)
