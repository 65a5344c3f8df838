package route

// Bar says why a candidate is used only when none with a lower Bar is left.
type Bar uint8

const (
	// Open means that nothing speaks against the candidate.
	Open Bar = iota
	// KeptFree means that the server is kept free for urgent requests.
	KeptFree
	// MaybeLost means that the server may be lost.
	MaybeLost
)
