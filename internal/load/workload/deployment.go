package workload

import "time"

// Deployment is the size of an installation and what its callers ask for.
type Deployment struct {
	// Name is the deployment's kebab-case name.
	Name string
	// Servers is the number of engines that run long prompts.
	Servers int
	// Reserve is the number of engines beside which the plain services run.
	Reserve int
	// Stores is the number of store VMs.
	Stores int
	// Entries is the number of entry VMs.
	Entries int
	// ZoneDelay is the one-way delay between availability zones.
	ZoneDelay time.Duration
	// ClientDelay is the one-way delay to clients.
	ClientDelay time.Duration
	// PieceTokens is the number of tokens of a cache piece.
	PieceTokens int
	// Customers are the workspaces.
	Customers []Customer
	// Classes are the kinds of requests; the prompts of one workspace share their first piece.
	Classes []Class
}

// Class returns the class with the given name and whether there is one.
func (d *Deployment) Class(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}
