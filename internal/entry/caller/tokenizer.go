package caller

import "encoding/binary"

// bytesPerToken is the typical length in bytes of a token of prose.
const bytesPerToken = 4

type byteTokenizer struct{}

// NewByteTokenizer returns a Tokenizer that makes a token of every four bytes; the last one is padded with zeros.
//
// It is an approximation for routing and cache keys: equal prompts have equal
// tokens, and two prompts share their first n tokens if they share their first
// 4n bytes. Engines use their own tokenizers.
func NewByteTokenizer() Tokenizer {
	return byteTokenizer{}
}

// Tokens implements Tokenizer.
func (byteTokenizer) Tokens(prompt []byte) []uint32 {
	tokens := make([]uint32, 0, (len(prompt)+bytesPerToken-1)/bytesPerToken)
	for len(prompt) >= bytesPerToken {
		tokens = append(tokens, binary.BigEndian.Uint32(prompt))
		prompt = prompt[bytesPerToken:]
	}
	if len(prompt) == 0 {
		return tokens
	}
	var last [bytesPerToken]byte
	copy(last[:], prompt)
	return append(tokens, binary.BigEndian.Uint32(last[:]))
}
