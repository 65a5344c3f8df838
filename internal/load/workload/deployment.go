package workload

import "time"

// Deployment is the size of an installation and the requests of its callers.
type Deployment struct {
	// Name is the deployment's kebab-case name.
	Name string
	// Servers is the number of engines that run long prompts.
	Servers int
	// Reserve is the number of further engines, which share their VMs with the plain services.
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
	// Workspaces are the workspaces.
	Workspaces []Workspace
	// Classes are the classes of requests. The prompts of one workspace share their first piece.
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
