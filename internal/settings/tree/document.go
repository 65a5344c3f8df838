package tree

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// document is the nested form that the encoders of TOML and JSON take.
type document map[string]any

// document returns branch p and those below it in the form that ParseTOML and ParseJSON read.
func (t Tree) document(p Path) document {
	top := document{}
	at := map[Path]document{p: top}
	for _, q := range t.Paths(p) {
		d, ok := at[q]
		if !ok {
			d = t.place(q, at)
		}
		own, _ := t.at(q)
		for key, v := range own {
			d[key] = v.Document()
		}
	}
	return top
}

// place returns the table for branch q below its parent's, made if it is missing.
func (t Tree) place(q Path, at map[Path]document) document {
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

// TOML returns branch p and those below it as TOML, sorted, in the form that ParseTOML reads.
func (t Tree) TOML(p Path) ([]byte, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(t.document(p)); err != nil {
		return nil, fmt.Errorf("settings tree: %w", err)
	}
	return b.Bytes(), nil
}

// JSON returns branch p and those below it as JSON, sorted, in the form that ParseJSON reads.
func (t Tree) JSON(p Path) ([]byte, error) {
	b, err := json.MarshalIndent(t.document(p), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("settings tree: %w", err)
	}
	return append(b, '\n'), nil
}
