package cell

// Cell is one cell as the settings name it.
type Cell struct {
	// Name names the cell.
	Name string
	// Zone is the availability zone of its VMs.
	Zone string
	// Entries are the identities of its entries.
	Entries []string
}
