package document

import "strings"

// Table provides the look-ups in a document that each request needs.
type Table interface {
	// Document returns the document of the table.
	Document() Document
	// Route returns the route with the longest prefix of path at host.
	Route(host, path string) (Route, bool)
	// Workspace returns the workspace of an API key.
	Workspace(key string) (Workspace, bool)
	// Service returns the service with the given name.
	Service(name string) (Service, bool)
}

type table struct {
	document   Document
	hosts      map[string]map[string]int
	workspaces map[string]int
	services   map[string]int
}

// NewTable returns the Table of a document that Validate accepts.
func NewTable(d Document) Table {
	t := &table{document: d, hosts: map[string]map[string]int{}, workspaces: map[string]int{}, services: map[string]int{}}
	for i, r := range d.Routes {
		h := foldHost(r.Host)
		if t.hosts[h] == nil {
			t.hosts[h] = map[string]int{}
		}
		t.hosts[h][r.Prefix] = i
	}
	for i, w := range d.Workspaces {
		for _, k := range w.Keys {
			t.workspaces[k] = i
		}
	}
	for i, s := range d.Services {
		t.services[s.Name] = i
	}
	return t
}

// Document implements Table.
func (t *table) Document() Document {
	return t.document
}

// Route implements Table.
//
// Prefixes end with a slash, so the candidates are the path's prefixes up to
// each slash, the longest first. The number of look-ups is the number of slashes in the path
// and independent of the number of routes.
func (t *table) Route(host, path string) (Route, bool) {
	prefixes := t.hosts[foldHost(host)]
	for prefixes != nil {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			break
		}
		if i, ok := prefixes[path[:end+1]]; ok {
			return t.document.Routes[i], true
		}
		path = path[:end]
	}
	return Route{}, false
}

// Workspace implements Table.
func (t *table) Workspace(key string) (Workspace, bool) {
	i, ok := t.workspaces[key]
	if !ok {
		return Workspace{}, false
	}
	return t.document.Workspaces[i], true
}

// Service implements Table.
func (t *table) Service(name string) (Service, bool) {
	i, ok := t.services[name]
	if !ok {
		return Service{}, false
	}
	return t.document.Services[i], true
}
