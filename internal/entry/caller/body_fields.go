package caller

import (
	"encoding/json"
	"errors"
	"slices"

	"hornbeamwood/internal/base/jsonscan"
)

// maxFields bounds the members of an object: each one is compared with those
// before it, and half a million of them would hold a processor for minutes.
const maxFields = 256

var errFields = errors.New("the object has more than 256 members")

// bodyField is one member of a JSON object; its value is kept as it came.
type bodyField struct {
	name  string
	value []byte
}

// bodyFields are the members of a JSON object, each name once.
type bodyFields []bodyField

// splitBody returns the members of the object that b holds; of equal names the
// last one counts, as for engines. A long prompt is looked at once for its
// syntax and is neither decoded nor copied here.
func splitBody(b []byte) (bodyFields, error) {
	if !json.Valid(b) {
		return nil, jsonscan.ErrSyntax
	}
	var fields bodyFields
	err := jsonscan.Members(b, func(name, value []byte) error {
		fields = fields.with(string(name), value)
		if len(fields) > maxFields {
			return errFields
		}
		return nil
	})
	return fields, err
}

func (f bodyFields) index(name string) int {
	return slices.IndexFunc(f, func(x bodyField) bool { return x.name == name })
}

// get returns a member's value as it came, nil when there is none.
func (f bodyFields) get(name string) []byte {
	i := f.index(name)
	if i < 0 {
		return nil
	}
	return f[i].value
}

// with returns f with a member set.
func (f bodyFields) with(name string, value []byte) bodyFields {
	if i := f.index(name); i >= 0 {
		f[i].value = value
		return f
	}
	return append(f, bodyField{name: name, value: value})
}

// object returns the JSON object of the members.
func (f bodyFields) object() []byte {
	size := 2
	for _, x := range f {
		size += len(x.name) + len(x.value) + 4
	}
	b := make([]byte, 0, size)
	b = append(b, '{')
	for i, x := range f {
		if i > 0 {
			b = append(b, ',')
		}
		name, err := json.Marshal(x.name)
		if err != nil {
			continue
		}
		b = append(b, name...)
		b = append(b, ':')
		b = append(b, x.value...)
	}
	return append(b, '}')
}
