package replica

import (
	"net/http"
	"time"

	"hornbeamwood/internal/base/verdict"
)

// Codes of the errors that this package returns.
const (
	CodeNotLeader     = "not-leader"
	CodeNotFormed     = "not-formed"
	CodeStopped       = "stopped"
	CodeQueueFull     = "queue-full"
	CodeDiskLow       = "disk-low"
	CodeTooLarge      = "command-too-large"
	CodeTimeout       = "timeout"
	CodeCommitUnknown = "commit-unknown"
	CodeChangePending = "change-pending"
	CodeRefused       = "change-refused"
)

// retryAfter is the approximate duration of an election.
const retryAfter = time.Second

func unavailable(code, message string) verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, code, "%s", message).WithRetryAfter(retryAfter)
}

func errNotLeader(cause NotLeaderError) error {
	return unavailable(CodeNotLeader, "this replica does not lead the control log").WithCause(cause)
}

func errNotFormed() error {
	return unavailable(CodeNotFormed, "this replica belongs to no group yet")
}

func errStopped(cause error) error {
	return unavailable(CodeStopped, "this replica has stopped").WithCause(cause)
}

func errQueueFull() error {
	return unavailable(CodeQueueFull, "too many commands are waiting")
}

func errDiskLow() error {
	return verdict.New(verdict.NotRun, http.StatusInsufficientStorage, CodeDiskLow, "the disk of the control log has less than %d MiB left; nothing is accepted until an operator makes room", minFreeBytes>>20)
}

func errTooLarge() error {
	return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, CodeTooLarge, "a command may have %d bytes at most", MaxCommand)
}

func errTimeout(cause error) error {
	return unavailable(CodeTimeout, "the time ran out before the command was taken").WithCause(cause)
}

// errCommitUnknown means that a command was appended to the log and may still be committed or dropped.
func errCommitUnknown(cause error) error {
	return verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, CodeCommitUnknown, "the command was taken, but whether it is committed is not known").
		WithRetryAfter(retryAfter).WithCause(cause)
}

func errChangeRefused(cause error) error {
	return verdict.New(verdict.NotRun, http.StatusConflict, CodeRefused, "the membership change is refused").WithCause(cause)
}

func errChangePending(cause error) error {
	return verdict.New(verdict.NotRun, http.StatusConflict, CodeChangePending, "an earlier membership change is not committed yet").
		WithRetryAfter(retryAfter).WithCause(cause)
}
