package retry

// Reason says why an attempt is or is not followed by another.
type Reason string

const (
	// Budgeted means that the budgets allow another attempt.
	Budgeted Reason = "budgeted"
	// MayRepeat means that the request may have run and must not run again.
	MayRepeat Reason = "may-have-run"
	// PartAnswered means that a part of the answer has gone to the caller.
	PartAnswered Reason = "part-answered"
	// NoTime means that the deadline comes before another attempt.
	NoTime Reason = "no-time"
	// NoOther means that there is no other server.
	NoOther Reason = "no-other-server"
	// WorkspaceSpent means that the workspace's budget is used up.
	WorkspaceSpent Reason = "workspace-budget-spent"
	// FleetSpent means that the budget of all workspaces together is used up.
	FleetSpent Reason = "fleet-budget-spent"
)
