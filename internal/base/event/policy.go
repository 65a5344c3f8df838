package event

import "github.com/apex/log"

// Events of routing, admission, retries and placement, 800 to 899.
var (
	// RequestRouted is written for each routing decision.
	RequestRouted = define(800, log.InfoLevel, "request-routed", "A request was assigned to a backend server; the fields name the server, the reason, the expected time to first token, the cost, the plan for the pieces and the estimate of each candidate.")
	// RequestRefused is written for each refusal by admission.
	RequestRefused = define(801, log.InfoLevel, "request-refused", "A request was refused before it ran; the fields name the reason and when the caller may retry.")
	// RequestQueued is written when a request waits at the entry for its workspace's turn.
	RequestQueued = define(802, log.DebugLevel, "request-queued", "A request waits at the entry for its workspace's turn.")
	// RequestRetried is written for each further attempt.
	RequestRetried = define(803, log.InfoLevel, "request-retried", "A failed attempt is followed by another; the fields name the attempt, the wait and the time left until the deadline.")
	// RetryDenied is written when a failed attempt is not retried.
	RetryDenied = define(804, log.InfoLevel, "retry-denied", "A failed attempt is not followed by another; the field reason says what forbids it.")
	// PieceExported is written for each decision to export a cache piece.
	PieceExported = define(805, log.InfoLevel, "piece-exported", "A cache piece is written to a store; the fields name the store, the tier and the worth per second of the link.")
	// ExportDeclined is written when a cache piece is not worth its export.
	ExportDeclined = define(806, log.DebugLevel, "export-declined", "A cache piece is not written to a store; the field reason says why.")
)
