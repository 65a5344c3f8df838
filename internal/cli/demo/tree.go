package demo

import (
	"fmt"
	"maps"

	"github.com/pelletier/go-toml/v2"

	"hornbeamwood/examples"
)

// Tables of a settings tree.
const (
	workspacesTable = "workspaces"
	modelsTable     = "models"
	servicesTable   = "services"
)

// table is a decoded TOML table.
type table map[string]any

// mergedTree returns one settings tree with the workspaces, models and services of both examples.
//
// What an example sets at its root holds for its own workspaces and models
// only, so it moves down to them.
func mergedTree() ([]byte, error) {
	first, err := decode(examples.Certilote)
	if err != nil {
		return nil, err
	}
	second, err := decode(examples.Association)
	if err != nil {
		return nil, err
	}
	for _, t := range []table{first, second} {
		t.sink()
		t.move()
	}
	for _, name := range []string{workspacesTable, modelsTable, servicesTable} {
		maps.Copy(first.sub(name), second.sub(name))
	}
	return toml.Marshal(first)
}

func decode(b []byte) (table, error) {
	var t table
	if err := toml.Unmarshal(b, &t); err != nil {
		return nil, fmt.Errorf("demo: example settings: %w", err)
	}
	return t, nil
}

// sub returns the table of the given name below t.
func (t table) sub(name string) table {
	m, _ := t[name].(map[string]any)
	return m
}

// region is that of the demo's processes; a workspace's calls are claimed in its own region only.
const region = "andes-centro"

// move puts all workspaces into the demo's region.
func (t table) move() {
	for _, b := range t.sub(workspacesTable) {
		if m, ok := b.(map[string]any); ok {
			m["region"] = region
		}
	}
}

// modelSettings are those of a root's settings that belong to models.
var modelSettings = map[string]bool{"piece-tokens": true, "context-tokens": true}

// sink moves the settings of the root to the branches below it.
func (t table) sink() {
	for key, value := range t {
		if _, ok := value.(map[string]any); ok {
			continue
		}
		below := t.sub(workspacesTable)
		if modelSettings[key] {
			below = t.sub(modelsTable)
		}
		for _, b := range below {
			if m, ok := b.(map[string]any); ok && m[key] == nil {
				m[key] = value
			}
		}
		delete(t, key)
	}
}
