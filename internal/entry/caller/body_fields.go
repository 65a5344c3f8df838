package caller

import (
	"encoding/json"
	"errors"
	"slices"

	"hornbeamwood/internal/base/jsonscan"
)

// maxFields bounds the members of an object. Each name is compared with all
// earlier ones, so that half a million members would occupy a CPU for minutes.
const maxFields = 256

var errFields = errors.New("the object has more than 256 members")

// bodyField is one member of a JSON object with its raw value.
type bodyField struct {
	name  string
	value []byte
}

// bodyFields are the members of a JSON object with distinct names.
type bodyFields []bodyField

// splitBody returns the members of the JSON object in b. Of equal names the last
// one counts, as in engines. Values are only checked for their syntax and neither
// decoded nor copied, because prompts can be long.
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

// get returns the raw value of a member, or nil when there is none.
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
