package block

import (
	"crypto/sha256"
	"encoding/binary"
)

// Domains separate the digests of different kinds of data, whatever their bytes are.
const (
	scopeDomain  = "hornbeamwood scope 1"
	tokensDomain = "hornbeamwood tokens 1"
	textDomain   = "hornbeamwood text 1"
)

// BytesPerToken is the number of bytes that count as one token in a text prompt.
const BytesPerToken = 4

// Scope holds the properties that two prompts must have in common to share cached pieces.
type Scope struct {
	// Workspace is the workspace's name.
	Workspace string
	// Model is the model's name.
	Model string
	// WeightVersion is the version of its weights.
	WeightVersion string
	// Adapter is the adapter's name, empty for none.
	Adapter string
	// PieceTokens is the number of tokens in one piece.
	PieceTokens int
}

// Root returns the parent key of the first piece of every prompt in the scope.
func (s Scope) Root() Key {
	b := appendString(nil, scopeDomain)
	b = appendString(b, s.Workspace)
	b = appendString(b, s.Model)
	b = appendString(b, s.WeightVersion)
	b = appendString(b, s.Adapter)
	b = binary.BigEndian.AppendUint64(b, uint64(s.PieceTokens))
	return sha256.Sum256(b)
}

// Tokens returns the keys of the full pieces of a prompt given as token IDs.
func (s Scope) Tokens(prompt []uint32) []Key {
	if s.PieceTokens <= 0 {
		return nil
	}
	keys := make([]Key, 0, len(prompt)/s.PieceTokens)
	c := newChain(tokensDomain, s.Root(), 4*s.PieceTokens)
	for len(prompt) >= s.PieceTokens {
		keys = append(keys, c.tokens(prompt[:s.PieceTokens]))
		prompt = prompt[s.PieceTokens:]
	}
	return keys
}

// Text returns the keys of the full pieces of a text prompt, each of PieceTokens times BytesPerToken bytes.
func (s Scope) Text(prompt []byte) []Key {
	size := s.PieceTokens * BytesPerToken
	if size <= 0 {
		return nil
	}
	keys := make([]Key, 0, len(prompt)/size)
	c := newChain(textDomain, s.Root(), size)
	for len(prompt) >= size {
		keys = append(keys, c.text(prompt[:size]))
		prompt = prompt[size:]
	}
	return keys
}

// appendString appends the length of s and s, so that different lists of strings have different encodings.
func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(s)))
	return append(b, s...)
}
