package disk

import "fmt"

// Corruption says that acknowledged data may be damaged; the replica must not start from it.
type Corruption struct {
	// Path and Offset are where the damage begins.
	Path   string
	Offset int64
	// Reason is what is wrong there.
	Reason string
}

// Error names the place and what an operator does.
func (c *Corruption) Error() string {
	return fmt.Sprintf("disk: %s is damaged at byte %d: %s; this replica may have lost data it acknowledged and must not vote: "+
		"move the data folder away, start the replica with an empty one and admit it anew", c.Path, c.Offset, c.Reason)
}
