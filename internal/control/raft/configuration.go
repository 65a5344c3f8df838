package raft

import (
	"slices"

	"hornbeamwood/internal/base/codec"
)

// Configuration is the immutable set of members at one index of the log, sorted by identity.
type Configuration struct {
	// Members are the voters and learners.
	Members []Member `cbor:"members"`
}

// NewConfiguration returns a Configuration of the given members.
func NewConfiguration(members ...Member) Configuration {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.Identity < b.Identity {
			return -1
		}
		return 1
	})
	return Configuration{Members: sorted}
}

// Member returns the member with the given identity.
func (c Configuration) Member(id Identity) (Member, bool) {
	for _, m := range c.Members {
		if m.Identity == id {
			return m, true
		}
	}
	return Member{}, false
}

// Voter reports whether id is a voter.
func (c Configuration) Voter(id Identity) bool {
	m, ok := c.Member(id)
	return ok && m.Voter
}

// Voters returns the number of voters.
func (c Configuration) Voters() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that make a majority.
func (c Configuration) Quorum() int {
	return c.Voters()/2 + 1
}

// With returns a copy of c with m added, or replaced if its identity is a member already.
func (c Configuration) With(m Member) Configuration {
	return NewConfiguration(append(c.Without(m.Identity).Members, m)...)
}

// Without returns a copy of c without the member id.
func (c Configuration) Without(id Identity) Configuration {
	rest := make([]Member, 0, len(c.Members)+1)
	for _, m := range c.Members {
		if m.Identity != id {
			rest = append(rest, m)
		}
	}
	return Configuration{Members: rest}
}

// encode returns the bytes that a configuration entry carries.
func (c Configuration) encode() []byte {
	b, err := codec.Marshal(c)
	if err != nil {
		// Strings and booleans always encode.
		panic(err)
	}
	return b
}

// decodeConfiguration returns the Configuration that a configuration entry carries.
func decodeConfiguration(b []byte) (Configuration, error) {
	return codec.Unmarshal[Configuration](b)
}

// Addresses returns the addresses of the members.
func (c Configuration) Addresses() []string {
	all := make([]string, 0, len(c.Members))
	for _, m := range c.Members {
		all = append(all, m.Address)
	}
	return all
}
