package cell

// Cell is one cell as configured in the settings.
type Cell struct {
	// Name is the name of the cell.
	Name string
	// Zone is the availability zone of its VMs.
	Zone string
	// Entries are the identities of its entries.
	Entries []string
}
