package route

// Copy is a sealed copy of a piece in a store.
type Copy struct {
	// Store is the index in Cell.Stores.
	Store int
	// Tier is the tier in which the store holds the copy.
	Tier Tier
}
