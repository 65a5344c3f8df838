package section

import "hornbeamwood/internal/settings/tree"

// maxDelta is the maximum number of differences in an answer; above it, the whole tree is sent.
const maxDelta = 4096

// Changes are the changes from a known revision to the newest one.
type Changes struct {
	// From is the known revision given in the query.
	From uint64 `cbor:"from"`
	// Revision is the newest revision.
	Revision uint64 `cbor:"revision"`
	// Changes are the changes from From to Revision, if Whole is empty.
	Changes []tree.Change `cbor:"changes,omitempty"`
	// Whole is the whole tree at Revision, sent when the differences are too many or no longer available.
	Whole []tree.Branch `cbor:"whole,omitempty"`
}

// History is a part of the audit trail.
type History struct {
	// Revision is the newest revision.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Oldest is the oldest revision in the audit trail, 0 if it is empty.
	Oldest uint64 `cbor:"oldest,omitempty" json:"oldest"`
	// Records are accepted edits, newest first.
	Records []Record `cbor:"records,omitempty" json:"records"`
}

// Dump is a branch with its descendants.
type Dump struct {
	// Revision is the newest revision.
	Revision uint64 `cbor:"revision"`
	// Found reports whether the branch exists.
	Found bool `cbor:"found,omitempty"`
	// Branches are the branch and its descendants, parents first.
	Branches []tree.Branch `cbor:"branches,omitempty"`
}

// Explanation holds the effective values of a branch.
type Explanation struct {
	// Revision is the newest revision.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Found reports whether the branch exists.
	Found bool `cbor:"found,omitempty" json:"-"`
	// Values are all effective values in the order of the schema.
	Values []EffectiveValue `cbor:"values,omitempty" json:"values"`
}

// EffectiveValue is one effective value with the branch that sets it.
type EffectiveValue struct {
	// Key is the name of the setting.
	Key string `cbor:"key" json:"key"`
	// Value is the effective value.
	Value tree.Value `cbor:"value" json:"value"`
	// From is the branch that sets the value, empty for the default.
	From tree.Path `cbor:"from,omitempty" json:"from,omitempty"`
}

// Diff holds the net differences between two revisions.
type Diff struct {
	// Revision is the newest revision.
	Revision uint64 `cbor:"revision" json:"revision"`
	// From is the earlier revision.
	From uint64 `cbor:"from" json:"from"`
	// To is the later revision.
	To uint64 `cbor:"to" json:"to"`
	// Known reports whether the history has all edits between the two.
	Known bool `cbor:"known,omitempty" json:"-"`
	// Effects are the differences.
	Effects []tree.Effect `cbor:"effects,omitempty" json:"effects"`
}
