package block

import (
	"crypto/sha256"
	"encoding/binary"
)

// Domains keep the digests of different things apart, whatever their bytes are.
const (
	scopeDomain  = "hornbeamwood scope 1"
	tokensDomain = "hornbeamwood tokens 1"
	textDomain   = "hornbeamwood text 1"
)

// BytesPerToken is the number of text bytes that count as one token where the prompt is text.
const BytesPerToken = 4

// Scope is what two prompts must share before they may share cache.
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

// Root returns the parent of the first piece of every prompt in the scope.
func (s Scope) Root() Key {
	b := appendString(nil, scopeDomain)
	b = appendString(b, s.Workspace)
	b = appendString(b, s.Model)
	b = appendString(b, s.WeightVersion)
	b = appendString(b, s.Adapter)
	b = binary.BigEndian.AppendUint64(b, uint64(s.PieceTokens))
	return sha256.Sum256(b)
}

// Tokens returns the keys of the full pieces of a prompt that is given as token ids.
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

// Text returns the keys of the full pieces of a prompt that is given as text, cut after each PieceTokens times BytesPerToken bytes.
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

// appendString appends the length of s and s, so that no two lists of strings have one encoding.
func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(s)))
	return append(b, s...)
}
