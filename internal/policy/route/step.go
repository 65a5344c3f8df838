package route

// Step is the plan for one piece.
type Step struct {
	// Source is the origin of the piece.
	Source Source
	// Copy is the copy to import if Source is Import.
	Copy Copy
}
