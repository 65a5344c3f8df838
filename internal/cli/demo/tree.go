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
// The root settings of an example apply to its own workspaces and models only, so
// they are pushed down to these.
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
		t.pushDownRootSettings()
		t.setRegion()
	}
	for _, name := range []string{workspacesTable, modelsTable, servicesTable} {
		maps.Copy(first.subtable(name), second.subtable(name))
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

// subtable returns the table with the given name in t.
func (t table) subtable(name string) table {
	m, _ := t[name].(map[string]any)
	return m
}

// region is the region of the demo's components; calls of a workspace are claimed only in its own region.
const region = "andes-centro"

// setRegion assigns all workspaces to the demo's region.
func (t table) setRegion() {
	for _, b := range t.subtable(workspacesTable) {
		if m, ok := b.(map[string]any); ok {
			m["region"] = region
		}
	}
}

// modelSettings are the root settings that belong to models.
var modelSettings = map[string]bool{"piece-tokens": true, "context-tokens": true}

// pushDownRootSettings moves the root settings to the branches below, where they do not override a setting.
func (t table) pushDownRootSettings() {
	for key, value := range t {
		if _, ok := value.(map[string]any); ok {
			continue
		}
		below := t.subtable(workspacesTable)
		if modelSettings[key] {
			below = t.subtable(modelsTable)
		}
		for _, b := range below {
			if m, ok := b.(map[string]any); ok && m[key] == nil {
				m[key] = value
			}
		}
		delete(t, key)
	}
}
