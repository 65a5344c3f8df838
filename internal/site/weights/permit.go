package weights

import "time"

// Permit allows one order under the lease for orders.
type Permit struct {
	// Holder and Fencing are those of the lease.
	Holder  string
	Fencing uint64
	// ValidFor is how long the order may be on its way.
	ValidFor time.Duration
	// End reports that the order has ended, and whether the engine responded.
	End func(responded bool)
}
