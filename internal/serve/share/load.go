package share

// Load is what one or all entries have at an engine.
type Load struct {
	// InFlight counts requests.
	InFlight int `cbor:"i"`
	// Reading is how many prompt tokens wait for the first event of their request.
	Reading int `cbor:"r"`
	// Held is how many tokens the requests hold at most.
	Held int `cbor:"h"`
}

// Plus returns the sum.
func (l Load) Plus(o Load) Load {
	return Load{l.InFlight + o.InFlight, l.Reading + o.Reading, l.Held + o.Held}
}

// Minus returns the difference, nothing less than zero.
func (l Load) Minus(o Load) Load {
	return Load{max(0, l.InFlight-o.InFlight), max(0, l.Reading-o.Reading), max(0, l.Held-o.Held)}
}

// Loads is an entry's load by the engine's ID; engines without any are left out.
type Loads map[string]Load

// Post is what an entry tells of its loads.
type Post struct {
	// Entry names the entry with its start.
	Entry string `cbor:"entry"`
	// Number counts the entry's posts.
	Number uint64 `cbor:"number"`
	// Loads are the loads.
	Loads Loads `cbor:"loads"`
}

// Sum is the load of all entries.
type Sum struct {
	// Loads are the loads.
	Loads Loads `cbor:"loads"`
	// Posts are the number of the post that is included, by the hash of the entry's name.
	Posts map[uint64]uint64 `cbor:"posts"`
}
