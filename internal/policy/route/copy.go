package route

// Copy is a sealed copy of a piece in a store.
type Copy struct {
	// Store is the index in Cell.Stores.
	Store int
	// Tier is where the store holds it.
	Tier Tier
}
