package retry

// Reason is the reason why an attempt is or is not followed by another.
type Reason string

const (
	// Budgeted means that the budgets allow another attempt.
	Budgeted Reason = "budgeted"
	// MayHaveRun means that the request may have run and must not run again.
	MayHaveRun Reason = "may-have-run"
	// PartAnswered means that a part of the answer was sent to the caller.
	PartAnswered Reason = "part-answered"
	// NoTime means that the deadline would expire before another attempt.
	NoTime Reason = "no-time"
	// NoOtherServer means that no other server can run the request.
	NoOtherServer Reason = "no-other-server"
	// WorkspaceBudgetSpent means that the workspace's budget is used up.
	WorkspaceBudgetSpent Reason = "workspace-budget-spent"
	// FleetBudgetSpent means that the budget of all workspaces together is used up.
	FleetBudgetSpent Reason = "fleet-budget-spent"
)
