package disk

import "fmt"

// Corruption is the error for damaged files that may hold acknowledged data. The replica must not start from them.
type Corruption struct {
	// Path and Offset are the position at which the damage begins.
	Path   string
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error describes the damage, its position and what the operator must do.
func (c *Corruption) Error() string {
	return fmt.Sprintf("disk: %s is damaged at byte %d: %s; this replica may have lost data it acknowledged and must not vote: "+
		"move the data folder away, start the replica with an empty one and admit it anew", c.Path, c.Offset, c.Reason)
}
