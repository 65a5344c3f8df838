package workload

// Customer is a workspace with its part of the requests.
type Customer struct {
	// Workspace is its name.
	Workspace string
	// Part is its part of the requests.
	Part float64
	// Share is its weight in fair queueing.
	Share float64
}

// smallest is the least part of a workspace; shares are in its multiples.
const smallest = 0.05

// fewLarge returns ten workspaces of which three send six tenths of the requests.
func fewLarge(names [10]string) []Customer {
	parts := [10]float64{0.26, 0.20, 0.14, 0.07, 0.06, 0.06, 0.06, 0.05, 0.05, 0.05}
	all := make([]Customer, len(names))
	for i, name := range names {
		all[i] = Customer{Workspace: name, Part: parts[i], Share: parts[i] / smallest}
	}
	return all
}
