package block

import (
	"encoding/hex"
	"fmt"
)

// Size is the number of bytes in a Key.
const Size = 32

// Key identifies one piece of KV cache.
type Key [Size]byte

// String returns the key as 64 lower-case hex digits.
func (k Key) String() string {
	return hex.EncodeToString(k[:])
}

// Parse decodes a key from 64 lower-case hex digits.
func Parse(s string) (Key, error) {
	var k Key
	err := k.UnmarshalText([]byte(s))
	return k, err
}

// MarshalText encodes the key as hex digits.
func (k Key) MarshalText() ([]byte, error) {
	return hex.AppendEncode(make([]byte, 0, 2*Size), k[:]), nil
}

// UnmarshalText decodes the key from hex digits. Upper case is refused, since two spellings of one key would be two objects in a store.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != 2*Size {
		return fmt.Errorf("block: a key has %d hex digits, not %d", 2*Size, len(text))
	}
	for _, b := range text {
		if b >= 'A' && b <= 'F' {
			return fmt.Errorf("block: a key has lower-case hex digits")
		}
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return fmt.Errorf("block: a key has lower-case hex digits")
	}
	return nil
}

// MarshalBinary returns the key's bytes, as used in CBOR messages.
func (k Key) MarshalBinary() ([]byte, error) {
	return k[:], nil
}

// UnmarshalBinary decodes the key from its bytes.
func (k *Key) UnmarshalBinary(b []byte) error {
	if len(b) != Size {
		return fmt.Errorf("block: a key has %d bytes, not %d", Size, len(b))
	}
	copy(k[:], b)
	return nil
}
