package tree

import (
	"fmt"
	"math"
	"slices"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/rules"
	"hornbeamwood/internal/settings/tomlfile"
)

// Setting describes one setting.
type Setting struct {
	// Name is the key, in kebab case.
	Name string
	// Default is the value if no branch sets one; its type is the setting's type.
	Default Value
	// Unit is the unit of a number, empty for other types.
	Unit string
	// Min and Max are the inclusive bounds of numbers and durations; the zero Value means no bound.
	Min, Max Value
	// Kinds are the kinds of branches that may set the value; their descendants inherit it.
	Kinds []Kind
	// Meaning is the description on the operators' page.
	Meaning string

	// These functions copy the value to the rules. Each setting has one; key-digests
	// has two, for workspaces and operators.
	rule      func(*rules.Rules, Value)
	fleet     func(*rules.Fleet, Value)
	model     func(*rules.Model, Value)
	workspace func(*rules.Workspace, Value)
	operator  func(*[][32]byte, Value)
}

// Type returns the type of the setting's values.
func (s Setting) Type() Type {
	return s.Default.Type
}

// allowed reports whether branches of kind k may set s.
func (s Setting) allowed(k Kind) bool {
	return slices.Contains(s.Kinds, k)
}

// check rejects values of another type and values out of bounds.
func (s Setting) check(v Value) error {
	if v.Type != s.Type() {
		return fmt.Errorf("a %s is expected, not a %s", s.Type(), v.Type)
	}
	if math.IsNaN(v.Float) || math.IsInf(v.Float, 0) {
		return fmt.Errorf("%v is no number", v.Float)
	}
	below := s.Min.Type != 0 && (v.Number < s.Min.Number || v.Float < s.Min.Float)
	above := s.Max.Type != 0 && (v.Number > s.Max.Number || v.Float > s.Max.Float)
	if below || above {
		return fmt.Errorf("%s is out of bounds; %s", v, s.Bounds())
	}
	if len(v.Text) > maxText {
		return fmt.Errorf("a string has %d characters at most", maxText)
	}
	if len(v.Digests) > maxDigests {
		return fmt.Errorf("%d key digests at most", maxDigests)
	}
	return checkDigests(v)
}

// checkDigests rejects unsorted lists and duplicates, so that equal lists have
// equal encodings.
func checkDigests(v Value) error {
	for i, d := range v.Digests {
		if d.IsZero() {
			return fmt.Errorf("a key digest of zeros belongs to no key")
		}
		if i > 0 && slices.Compare(v.Digests[i-1][:], d[:]) >= 0 {
			return fmt.Errorf("key digests must be sorted and different")
		}
	}
	return nil
}

const (
	maxText    = 128
	maxDigests = 32
)

// Bounds returns a description of the bounds, empty if there are none.
func (s Setting) Bounds() string {
	switch {
	case s.Min.Type != 0 && s.Max.Type != 0:
		return fmt.Sprintf("at least %s and at most %s", s.Min, s.Max)
	case s.Min.Type != 0:
		return fmt.Sprintf("at least %s", s.Min)
	case s.Max.Type != 0:
		return fmt.Sprintf("at most %s", s.Max)
	}
	return ""
}

// Lookup returns the setting of branches of kind k with the given name, or an error that suggests the nearest one.
func Lookup(k Kind, name string) (Setting, error) {
	if s, ok := byName[name]; ok && s.allowed(k) {
		return s, nil
	}
	if s, ok := byName[name]; ok {
		return s, fmt.Errorf("is not set on a branch %s but on %s", k.Pattern(), kindList(s.Kinds))
	}
	return Setting{}, fmt.Errorf("%s", tomlfile.Unknown(name, knownNames(k)))
}

// Schema returns all settings in the order of the schema.
func Schema() []Setting {
	return slices.Clone(schema)
}

func kindList(kinds []Kind) string {
	text := ""
	for i, k := range kinds {
		if i > 0 {
			text += ", "
		}
		text += k.Pattern()
	}
	return text
}

// knownNames returns the names of the settings and tables that a branch of kind k may have.
func knownNames(k Kind) []string {
	names := tableNames(k)
	for _, s := range schema {
		if s.allowed(k) {
			names = append(names, s.Name)
		}
	}
	return names
}

// tableNames returns the names of the tables below a branch of kind k, sorted.
func tableNames(k Kind) []string {
	var names []string
	for n := range collections[k] {
		names = append(names, n)
	}
	if k == Root {
		names = append(names, fleetTable)
	}
	slices.Sort(names)
	return names
}

func digestArrays(all []digest.Digest) [][32]byte {
	arrays := make([][32]byte, len(all))
	for i, d := range all {
		arrays[i] = d
	}
	return arrays
}
