package stores

import "github.com/cespare/xxhash/v2"

// Part names a piece of a prompt in a store.
type Part struct {
	// Salt is what the piece was read under.
	Salt string
	// ID identifies the piece.
	ID string
}

// Key returns the part's name in rows about the store at address.
func (p Part) Key(address string) string {
	return address + separator + p.Salt + separator + p.ID
}

// separator can't stand in addresses, salts or IDs, which travel in headers.
const separator = "\x00"

// Hash returns a short name of the part, for notes of its use.
func (p Part) Hash() uint64 {
	return xxhash.Sum64String(p.Key(""))
}
