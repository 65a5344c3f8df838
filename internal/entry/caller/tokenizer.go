package caller

import "encoding/binary"

// bytesPerToken is the usual length of a token of running text in bytes.
const bytesPerToken = 4

type byteTokenizer struct{}

// NewByteTokenizer returns a Tokenizer that takes each four bytes as one token, the last one padded with zeros.
//
// It is an approximation for routing and cache keys: equal prompts give equal
// tokens, and two prompts share their first n tokens when they share their
// first 4n bytes. Engines tokenize by themselves.
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
