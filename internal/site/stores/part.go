package stores

import (
	"encoding/base64"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

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

// PartLocation is a part in a store by short names: rows about parts go to every entry,
// by the thousand after a loss of all processes, and full names are most of their bytes.
type PartLocation struct {
	// Store is the store's ShortAddress, Part the part's Hash.
	Store uint32
	Part  uint64
}

// ShortAddress returns a short name of the store at address.
func ShortAddress(address string) uint32 {
	return uint32(xxhash.Sum64String(address))
}

// placeBytes is the size of a Place before it is encoded as text.
const placeBytes = 12

var errPlace = errors.New("stores: a place can't be read")

// Key returns the place as the key of a row.
func (p PartLocation) Key() string {
	var b [placeBytes]byte
	binary.BigEndian.PutUint32(b[:], p.Store)
	binary.BigEndian.PutUint64(b[4:], p.Part)
	return base64.RawStdEncoding.EncodeToString(b[:])
}

// ParsePartLocation returns the place of a row's key.
func ParsePartLocation(key string) (PartLocation, error) {
	b, err := base64.RawStdEncoding.DecodeString(key)
	if err != nil || len(b) != placeBytes {
		return PartLocation{}, errPlace
	}
	return PartLocation{Store: binary.BigEndian.Uint32(b), Part: binary.BigEndian.Uint64(b[4:])}, nil
}

// AtStore returns the part's place in the store at address.
func (p Part) AtStore(address string) PartLocation {
	return PartLocation{Store: ShortAddress(address), Part: p.Hash()}
}

// Hash returns a short name of the part.
func (p Part) Hash() uint64 {
	return xxhash.Sum64String(p.Key(""))
}
