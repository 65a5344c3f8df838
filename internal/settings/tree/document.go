package tree

import (
	"encoding/json"
	"fmt"
)

// document is the nested form that the TOML and JSON encoders accept.
type document map[string]any

// documentOf returns branches in nested form; the first one is p, the ancestor of all others.
func documentOf(p Path, branches []Branch) document {
	top := document{}
	at := map[Path]document{p: top}
	for _, b := range branches {
		d, ok := at[b.Path]
		if !ok {
			d = addTable(b.Path, at)
		}
		for _, a := range b.Values {
			d[a.Key] = a.Value.Document()
		}
	}
	return top
}

// addTable adds the table of branch q to its parent's table and returns it.
func addTable(q Path, at map[Path]document) document {
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

// FormatJSON returns branches as sorted JSON in the form that ParseJSON reads.
// The first branch is p, the ancestor of all others.
func FormatJSON(p Path, branches []Branch) ([]byte, error) {
	b, err := json.MarshalIndent(documentOf(p, branches), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("settings tree: %w", err)
	}
	return append(b, '\n'), nil
}
