package raft

// Identity names one replica with one disk: random, 16 hexadecimal digits, never reused after the disk is lost.
type Identity string

// None is the Identity of nobody.
const None Identity = ""
