package workload

// Workspace is a workspace with its share of the requests.
type Workspace struct {
	// Name is its name.
	Name string
	// RequestShare is its share of the requests.
	RequestShare float64
	// Share is its weight in fair queueing.
	Share float64
}

// minRequestShare is the smallest request share of a workspace; the fair queueing weights are multiples of it.
const minRequestShare = 0.05

// skewedWorkspaces returns ten workspaces, of which three send six tenths of the requests.
func skewedWorkspaces(names [10]string) []Workspace {
	requestShares := [10]float64{0.26, 0.20, 0.14, 0.07, 0.06, 0.06, 0.06, 0.05, 0.05, 0.05}
	all := make([]Workspace, len(names))
	for i, name := range names {
		all[i] = Workspace{Name: name, RequestShare: requestShares[i], Share: requestShares[i] / minRequestShare}
	}
	return all
}
