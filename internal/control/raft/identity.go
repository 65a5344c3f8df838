package raft

// Identity identifies one replica with one disk: 16 random hexadecimal digits, never reused after the disk is lost.
type Identity string

// None is the zero Identity; no replica has it.
const None Identity = ""
