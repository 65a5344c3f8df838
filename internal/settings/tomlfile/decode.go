package tomlfile

import (
	"bytes"
	"errors"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes data as a T. The error is of type Problems if data is not valid TOML or does not match T.
func Decode[T any](file string, data []byte) (T, error) {
	var v T
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(&v)
	if err == nil {
		return v, nil
	}
	return v, problemsOf(file, err, reflect.TypeFor[T]())
}

func problemsOf(file string, err error, t reflect.Type) Problems {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var all Problems
		for i := range unknown.Errors {
			all = append(all, unknownKey(file, &unknown.Errors[i], t))
		}
		return all
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return Problems{{File: file, Line: line, Key: strings.Join(decodeErr.Key(), "."), Message: trimmedMessage(decodeErr)}}
	}
	return Problems{{File: file, Message: err.Error()}}
}

func unknownKey(file string, e *toml.DecodeError, t reflect.Type) Problem {
	key := e.Key()
	line, _ := e.Position()
	p := Problem{File: file, Line: line, Key: strings.Join(key, ".")}
	known, name := knownKeys(t, key)
	p.Message = Unknown(name, known)
	return p
}

func trimmedMessage(e *toml.DecodeError) string {
	return strings.TrimPrefix(e.Error(), "toml: ")
}

// knownKeys returns the first unknown part of key and the keys that its table may have.
func knownKeys(t reflect.Type, key []string) ([]string, string) {
	for i, part := range key {
		t = elementOf(t)
		if t.Kind() != reflect.Struct {
			return nil, key[len(key)-1]
		}
		names, types := fieldsOf(t)
		next, ok := types[part]
		if !ok || i == len(key)-1 {
			return names, part
		}
		t = next
	}
	return nil, ""
}

func elementOf(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t
}

func fieldsOf(t reflect.Type) ([]string, map[string]reflect.Type) {
	var names []string
	types := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" {
			continue
		}
		names = append(names, name)
		types[name] = f.Type
	}
	return names, types
}
