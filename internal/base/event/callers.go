package event

import "github.com/apex/log"

// Events of callers, the ledger and streams, 500 to 599.
var (
	// CallClaimed is written when an entry holds the claim of a non-idempotent call.
	CallClaimed = define(500, log.InfoLevel, "call-claimed", "A non-idempotent call is claimed in the ledger; it is dispatched next.")
	// CallFound is written when the ledger already has a record under the key.
	CallFound = define(501, log.InfoLevel, "call-found", "The ledger answers a resent call; the field found is outcome, busy, unknown, mismatch, stale or invalid.")
	// CallDispatched is written before each dispatch to a plain service.
	CallDispatched = define(502, log.InfoLevel, "call-dispatched", "A call is sent to a plain service; the field server names the backend server.")
	// CallFailed is written when a claimed call has no outcome.
	CallFailed = define(503, log.WarnLevel, "call-failed", "A claimed call has no outcome; not-run releases the claim, may-have-run makes it unknown.")
	// CallSettled is written when a call has its outcome, before that is recorded.
	CallSettled = define(504, log.InfoLevel, "call-settled", "A non-idempotent call has its outcome, which is recorded in the ledger next.")
	// CallUnrecorded is written when the log was unavailable for longer than the entry retries.
	CallUnrecorded = define(505, log.ErrorLevel, "call-unrecorded", "The outcome of a call could not be recorded in the ledger; the claim ends as unknown.")
	// CallRetried is written when an idempotent call is retried at another server.
	CallRetried = define(506, log.InfoLevel, "call-retried", "An idempotent call is retried at another server.")
	// StreamResumed is written when a broken stream continues at the same engine.
	StreamResumed = define(510, log.InfoLevel, "stream-resumed", "A broken stream is resumed at the same engine after the field position.")
	// StreamRejected is written when an engine's event is not forwarded.
	StreamRejected = define(511, log.WarnLevel, "stream-rejected", "An engine sent data that does not belong to the attempt, or ended the stream early; nothing of it was forwarded.")
	// StreamCancelled is written when a run is cancelled because its caller disconnected.
	StreamCancelled = define(512, log.InfoLevel, "stream-cancelled", "The caller disconnected; the run is cancelled at the engine.")
	// RequestQuarantined is written when a request is refused because it crashes servers.
	RequestQuarantined = define(530, log.WarnLevel, "request-quarantined", "A request was refused because different servers were lost while they ran it, or prompts that share a part with it; the field fingerprint identifies it for an operator, part is the ID of the part.")
	// ServerLostUnder is written for each request that ran on a lost server.
	ServerLostUnder = define(531, log.WarnLevel, "server-lost-under", "A server was lost while it ran a request, which is now a suspect; began says whether the answer had begun, parts names the parts that its prompt may share with others, suspect-parts those of them that aren't known to be sound.")
	// CallerRefused is written for each refusal to a caller.
	CallerRefused = define(520, log.InfoLevel, "caller-refused", "A request was refused; the fields give status, code and verdict.")
	// RequestServed is written for each answered request.
	RequestServed = define(521, log.InfoLevel, "request-served", "A request was answered completely.")
)
