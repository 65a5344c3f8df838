package main

import (
	_ "embed"
	"encoding/json"
)

// namesText holds the names of the provider's protocol that the stand-ins speak.
//
//go:embed names.json
var namesText []byte

var names = readNames()

func readNames() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}
