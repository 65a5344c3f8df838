package directory

// Locations holds one Location for each key that was looked up, in the order of the keys.
type Locations []Location

// Location lists the known locations of one piece.
type Location struct {
	_ struct{} `cbor:",toarray"`
	// Engines are the identities of engines that hold the piece in memory.
	Engines []string
	// Stores are the stores that hold the piece sealed.
	Stores []Stored
}

// Stored is one sealed piece in one store.
type Stored struct {
	_ struct{} `cbor:",toarray"`
	// Store is the store's identity.
	Store string
	// Tier is the storage tier of the piece.
	Tier Tier
	// Generation must be included in every read; the store refuses any other.
	Generation uint64
	// Bytes is the size of the piece.
	Bytes int64
}

// EnginePrefix returns the number of leading pieces that the engine with the given identity holds.
func (l Locations) EnginePrefix(identity string) int {
	for i := range l {
		if !l[i].heldBy(identity) {
			return i
		}
	}
	return len(l)
}

func (l Location) heldBy(identity string) bool {
	for _, e := range l.Engines {
		if e == identity {
			return true
		}
	}
	return false
}
