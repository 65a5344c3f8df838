package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are the provider's names of headers and calls.
var names = func() map[string]string {
	all := map[string]string{}
	if err := json.Unmarshal(namesText, &all); err != nil {
		panic(err)
	}
	return all
}()
