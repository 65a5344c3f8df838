package route

// Cell is an entry's view of the servers and stores of its cell.
type Cell struct {
	// Candidates are the backend servers that hold the request's model and weight version and take
	// new work.
	Candidates []Candidate
	// Stores are the store VMs.
	Stores []Store
}
