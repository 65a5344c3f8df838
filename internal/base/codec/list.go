package codec

import "github.com/fxamacker/cbor/v2"

// UnmarshalList returns the elements of an array. Elements that can't be read are left out and counted, so that one
// of them doesn't cost the others.
func UnmarshalList[T any](b []byte) (all []T, unreadable int, err error) {
	if all, err := Unmarshal[[]T](b); err == nil {
		return all, 0, nil
	}
	raw, err := Unmarshal[[]cbor.RawMessage](b)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range raw {
		v, err := Unmarshal[T](r)
		if err != nil {
			unreadable++
			continue
		}
		all = append(all, v)
	}
	return all, unreadable, nil
}
