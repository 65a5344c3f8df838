package tree

import (
	"encoding/json"
	"fmt"
)

// document is the nested form that the encoders of TOML and JSON take.
type document map[string]any

// documentOf returns branches, the first of which is p and above all others, in nested form.
func documentOf(p Path, branches []Branch) document {
	top := document{}
	at := map[Path]document{p: top}
	for _, b := range branches {
		d, ok := at[b.Path]
		if !ok {
			d = place(b.Path, at)
		}
		for _, a := range b.Values {
			d[a.Key] = a.Value.Document()
		}
	}
	return top
}

// place returns the table for branch q below its parent's, made if it is missing.
func place(q Path, at map[Path]document) document {
	d := document{}
	at[q] = d
	parent, _ := q.Parent()
	k, first, second := q.split()
	if k == Fleet {
		at[parent][fleetTable] = d
		return d
	}
	name := first
	if second != "" {
		name = second
	}
	table := tableOf(k)
	names, ok := at[parent][table].(document)
	if !ok {
		names = document{}
		at[parent][table] = names
	}
	names[name] = d
	return d
}

func tableOf(k Kind) string {
	for _, tables := range collections {
		for table, kind := range tables {
			if kind == k {
				return table
			}
		}
	}
	return ""
}

// FormatJSON returns branches, the first of which is p and above all others, as JSON, sorted, in the form that ParseJSON reads.
func FormatJSON(p Path, branches []Branch) ([]byte, error) {
	b, err := json.MarshalIndent(documentOf(p, branches), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("settings tree: %w", err)
	}
	return append(b, '\n'), nil
}
