package digest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

// Prefix is the prefix of the text form of a Digest.
const Prefix = "sha256:"

// Digest is the SHA-256 digest of a key; the zero Digest matches no key.
type Digest [sha256.Size]byte

// Of returns the digest of a key in the form used in an Authorization header.
func Of(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// Parse parses the text form of a Digest: "sha256:" and 64 hexadecimal digits.
func Parse(text string) (Digest, error) {
	var d Digest
	digits, ok := strings.CutPrefix(text, Prefix)
	if !ok {
		return d, fmt.Errorf("a key digest opens with %q", Prefix)
	}
	if len(digits) != hex.EncodedLen(len(d)) {
		return d, fmt.Errorf("a key digest has %d hexadecimal digits after %q, not %d", hex.EncodedLen(len(d)), Prefix, len(digits))
	}
	if _, err := hex.Decode(d[:], []byte(digits)); err != nil {
		return Digest{}, fmt.Errorf("a key digest is hexadecimal: %w", err)
	}
	if d.IsZero() {
		return d, fmt.Errorf("a key digest of zeros belongs to no key")
	}
	return d, nil
}

// IsZero reports whether d is unset.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// Equal reports in constant time whether d and o are equal and not zero.
func (d Digest) Equal(o Digest) bool {
	return subtle.ConstantTimeCompare(d[:], o[:]) == 1 && !d.IsZero()
}

// String returns the text form of d.
func (d Digest) String() string {
	return Prefix + hex.EncodeToString(d[:])
}

// MarshalText returns the text form of d.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText sets d from its text form.
func (d *Digest) UnmarshalText(text []byte) error {
	v, err := Parse(string(text))
	if err != nil {
		return err
	}
	*d = v
	return nil
}
