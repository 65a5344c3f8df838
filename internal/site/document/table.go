package document

import "strings"

// Table answers the questions that each request asks of a document.
type Table interface {
	// Document returns the document that the table was made from.
	Document() Document
	// Route returns the route with the longest prefix of path at host.
	Route(host, path string) (Route, bool)
	// Workspace returns the workspace that holds the key.
	Workspace(key string) (Workspace, bool)
	// Service returns the service of that name.
	Service(name string) (Service, bool)
}

type table struct {
	document   Document
	hosts      map[string]map[string]int
	workspaces map[string]int
	services   map[string]int
}

// NewTable returns the Table of a document that Check has passed.
func NewTable(d Document) Table {
	t := &table{document: d, hosts: map[string]map[string]int{}, workspaces: map[string]int{}, services: map[string]int{}}
	for i, r := range d.Routes {
		h := strings.ToLower(r.Host)
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
// Prefixes end with a slash, so the candidates are the path's beginnings up to
// each slash, the longest first: as many look-ups as the path has slashes,
// however many routes the document has.
func (t *table) Route(host, path string) (Route, bool) {
	prefixes := t.hosts[strings.ToLower(host)]
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
