package stores

import (
	"encoding/base64"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of a prompt whose KV cache is stored.
type Part struct {
	// Salt is the cache salt under which the part was computed.
	Salt string
	// ID identifies the part within its salt.
	ID string
}

// Key returns the key of rows about the part in the store at address.
func (p Part) Key(address string) string {
	return address + keySeparator + p.Salt + keySeparator + p.ID
}

// keySeparator can't occur in addresses, salts or IDs, since they are sent in headers.
const keySeparator = "\x00"

// PartLocation identifies a part in a store by hashes. Rows about parts are sent to every entry,
// thousands of them after all processes were lost, and full names would be most of their bytes.
type PartLocation struct {
	// Store is the store's ShortAddress, Part the part's Hash.
	Store uint32
	Part  uint64
}

// ShortAddress returns a 32-bit hash of a store's address.
func ShortAddress(address string) uint32 {
	return uint32(xxhash.Sum64String(address))
}

// partLocationBytes is the size of a PartLocation before it is encoded as text.
const partLocationBytes = 12

var errPartLocation = errors.New("stores: the key of a part location is malformed")

// Key returns the location as the key of a row.
func (p PartLocation) Key() string {
	var b [partLocationBytes]byte
	binary.BigEndian.PutUint32(b[:], p.Store)
	binary.BigEndian.PutUint64(b[4:], p.Part)
	return base64.RawStdEncoding.EncodeToString(b[:])
}

// ParsePartLocation decodes the key of a row.
func ParsePartLocation(key string) (PartLocation, error) {
	b, err := base64.RawStdEncoding.DecodeString(key)
	if err != nil || len(b) != partLocationBytes {
		return PartLocation{}, errPartLocation
	}
	return PartLocation{Store: binary.BigEndian.Uint32(b), Part: binary.BigEndian.Uint64(b[4:])}, nil
}

// AtStore returns the part's location in the store at address.
func (p Part) AtStore(address string) PartLocation {
	return PartLocation{Store: ShortAddress(address), Part: p.Hash()}
}

// Hash returns a 64-bit hash of the part's salt and ID.
func (p Part) Hash() uint64 {
	return xxhash.Sum64String(p.Key(""))
}
