package route

// Step is the plan for one piece.
type Step struct {
	// Source is where the piece comes from.
	Source Source
	// Copy is the copy to import when Source is Import.
	Copy Copy
}
