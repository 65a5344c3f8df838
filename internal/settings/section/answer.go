package section

import "hornbeamwood/internal/settings/tree"

// maxDelta is the number of differences above which the whole tree is sent.
const maxDelta = 4096

// Changes is what lies between a known revision and the newest one.
type Changes struct {
	// From is the revision that the asker named.
	From uint64 `cbor:"from"`
	// Revision is the newest one.
	Revision uint64 `cbor:"revision"`
	// Changes lead from From to Revision when Whole is empty.
	Changes []tree.Change `cbor:"changes,omitempty"`
	// Whole is the tree at Revision; it is sent when the differences are not known any more.
	Whole []tree.Branch `cbor:"whole,omitempty"`
}

// History is a part of the audit trail, newest first.
type History struct {
	// Revision is the newest one.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Oldest is the oldest revision that the trail still has, 0 when it has none.
	Oldest uint64 `cbor:"oldest,omitempty" json:"oldest"`
	// Records are accepted edits, newest first.
	Records []Record `cbor:"records,omitempty" json:"records"`
}

// Dump is a branch with those below it.
type Dump struct {
	// Revision is the newest one.
	Revision uint64 `cbor:"revision"`
	// Found says whether there is such a branch.
	Found bool `cbor:"found,omitempty"`
	// Branches are the branch and those below it, parents first.
	Branches []tree.Branch `cbor:"branches,omitempty"`
}

// Explanation holds the effective values of a branch.
type Explanation struct {
	// Revision is the newest one.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Found says whether there is such a branch.
	Found bool `cbor:"found,omitempty" json:"-"`
	// Values are all effective values in the order of the schema.
	Values []EffectiveValue `cbor:"values,omitempty" json:"values"`
}

// EffectiveValue is one effective value with the branch that sets it.
type EffectiveValue struct {
	// Key names the setting.
	Key string `cbor:"key" json:"key"`
	// Value is the effective value.
	Value tree.Value `cbor:"value" json:"value"`
	// From is the branch that sets it, empty for the default.
	From tree.Path `cbor:"from,omitempty" json:"from,omitempty"`
}

// Diff holds the net differences between two revisions.
type Diff struct {
	// Revision is the newest one.
	Revision uint64 `cbor:"revision" json:"revision"`
	// From is the earlier revision.
	From uint64 `cbor:"from" json:"from"`
	// To is the later revision.
	To uint64 `cbor:"to" json:"to"`
	// Known says whether the history has all edits between them.
	Known bool `cbor:"known,omitempty" json:"-"`
	// Effects are the differences.
	Effects []tree.Effect `cbor:"effects,omitempty" json:"effects"`
}
