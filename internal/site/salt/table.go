package salt

import "hornbeamwood/internal/site/document"

// Table is a document.Table with the salts that its workspaces use; it is immutable.
type Table interface {
	document.Table
	// Salt returns the salt of a workspace's requests, of those without a workspace if the name is empty.
	Salt(model string, version int64, workspace string) Salt
	// Shared returns the text of the workspaces that aren't isolated.
	Shared() string
}

type table struct {
	document.Table
	shared string
	// sharing holds the workspaces that aren't isolated.
	sharing map[string]bool
}

// NewTable returns the Table of a document with the text of its Sharing.
func NewTable(d document.Document, shared string) Table {
	t := &table{Table: document.NewTable(d), shared: shared, sharing: map[string]bool{"": true}}
	for _, name := range sharingWorkspaces(d) {
		t.sharing[name] = true
	}
	return t
}

// Salt implements Table. A workspace that the document doesn't name shares with no other one.
func (t *table) Salt(model string, version int64, workspace string) Salt {
	if t.sharing[workspace] {
		return Salt{Model: model, Version: version, Shared: t.shared}
	}
	return Salt{Model: model, Version: version, Isolated: true, Workspace: workspace}
}

// Shared implements Table.
func (t *table) Shared() string {
	return t.shared
}
