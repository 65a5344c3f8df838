package route

// Rank orders candidates by preference. A candidate is used only when no candidate with a lower
// Rank is available.
type Rank uint8

const (
	// Preferred means that the candidate may be used without restriction.
	Preferred Rank = iota
	// Reserved means that the server is reserved for urgent requests.
	Reserved
	// MaybeLost means that the server may be lost or runs an exclusive request.
	MaybeLost
)
