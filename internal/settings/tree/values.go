package tree

import (
	"maps"
	"slices"
)

// values are the own values of a branch; immutable.
type values map[string]Value

func (v values) with(key string, x Value) values {
	c := maps.Clone(v)
	if c == nil {
		c = values{}
	}
	c[key] = x
	return c
}

func (v values) without(key string) values {
	c := maps.Clone(v)
	delete(c, key)
	return c
}

func (v values) keys() []string {
	return slices.Sorted(maps.Keys(v))
}

func (v values) assignments() []Assignment {
	var all []Assignment
	for _, key := range v.keys() {
		all = append(all, Assignment{Key: key, Value: v[key]})
	}
	return all
}

// overlay sets each value in v on target, by the function that pick returns for its setting.
func overlay[T any](v values, target T, pick func(Setting) func(T, Value)) {
	for key, x := range v {
		if set := pick(byName[key]); set != nil {
			set(target, x)
		}
	}
}
