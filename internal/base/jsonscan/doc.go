// Package jsonscan walks over JSON text without decoding it.
//
// It is for hot paths that read a few members of a large or frequent message.
// It expects text that json.Valid accepts; other text gives an error or other
// members, never a panic.
package jsonscan
