package tree

import (
	"fmt"
	"strings"

	"hornbeamwood/internal/settings/tomlfile"
)

// Path identifies a branch, for example "/workspaces/gate/models/status". Text from outside must go through ParsePath.
type Path string

// RootPath is the path of the root, from which all branches inherit.
const RootPath Path = "/"

// FleetPath is the path of the branch for settings that belong to no workspace.
const FleetPath Path = "/fleet"

// maxName is the maximum length of a branch name in bytes.
const maxName = 63

// ParsePath returns the Path for text, or an error with the part that is invalid.
func ParsePath(text string) (Path, error) {
	if text == "" || text == "/" {
		return RootPath, nil
	}
	parts := strings.Split(strings.TrimPrefix(text, "/"), "/")
	if len(parts) == 1 && parts[0] == fleetTable {
		return FleetPath, nil
	}
	kind := Root
	for len(parts) > 0 {
		next, err := nextKind(kind, parts)
		if err != nil {
			return "", fmt.Errorf("path %q: %w", text, err)
		}
		kind, parts = next, parts[2:]
	}
	return Path("/" + strings.TrimPrefix(text, "/")), nil
}

// nextKind returns the kind of the child branch that the first two parts identify below a branch of kind k.
func nextKind(k Kind, parts []string) (Kind, error) {
	tables := collections[k]
	if len(tables) == 0 {
		return 0, fmt.Errorf("a branch %s has none below it", k.Pattern())
	}
	next, ok := tables[parts[0]]
	if !ok {
		return 0, fmt.Errorf("%q: %s", parts[0], tomlfile.Unknown(parts[0], tableNames(k)))
	}
	if len(parts) < 2 {
		return 0, fmt.Errorf("a name is missing after %q", parts[0])
	}
	return next, checkName(parts[1])
}

// checkName rejects names that would need quoting in paths, headers or log lines.
func checkName(name string) error {
	if name == "" || len(name) > maxName {
		return fmt.Errorf("a branch name has 1 to %d characters", maxName)
	}
	for i := range len(name) {
		if !allowedInName(name[i], i) {
			return fmt.Errorf("name %q: only a to z, 0 to 9 and, after the first, '-', '_' and '.' are allowed", name)
		}
	}
	return nil
}

func allowedInName(c byte, at int) bool {
	if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' {
		return true
	}
	return at > 0 && (c == '-' || c == '_' || c == '.')
}

// Kind returns the kind of branch p.
func (p Path) Kind() Kind {
	k, _, _ := p.split()
	return k
}

// Parent returns the branch from which p inherits, and false for the root.
func (p Path) Parent() (Path, bool) {
	k, first, _ := p.split()
	switch k {
	case Root:
		return "", false
	case WorkspaceModel, WorkspaceService:
		return WorkspacePath(first), true
	}
	return RootPath, true
}

// split returns the kind of p and the names in it, at most two.
func (p Path) split() (k Kind, first, second string) {
	if p == RootPath {
		return Root, "", ""
	}
	if p == FleetPath {
		return Fleet, "", ""
	}
	table, rest, _ := strings.Cut(string(p[1:]), "/")
	k = collections[Root][table]
	first, rest, below := strings.Cut(rest, "/")
	if !below {
		return k, first, ""
	}
	table, second, _ = strings.Cut(rest, "/")
	return collections[k][table], first, second
}

// ModelPath returns the path of a model's branch.
func ModelPath(name string) Path {
	return Path("/" + modelsTable + "/" + name)
}

// ServicePath returns the path of a service's branch.
func ServicePath(name string) Path {
	return Path("/" + servicesTable + "/" + name)
}

// OperatorPath returns the path of an operator's branch.
func OperatorPath(name string) Path {
	return Path("/" + operatorsTable + "/" + name)
}

// WorkspacePath returns the path of a workspace's branch.
func WorkspacePath(name string) Path {
	return Path("/" + workspacesTable + "/" + name)
}

// WithModel returns the path of a model's branch in workspace p.
func (p Path) WithModel(name string) Path {
	return p + Path("/"+modelsTable+"/"+name)
}

// WithService returns the path of a service's branch in workspace p.
func (p Path) WithService(name string) Path {
	return p + Path("/"+servicesTable+"/"+name)
}

// within reports whether p is q or a descendant of q.
func (p Path) within(q Path) bool {
	return p == q || q == RootPath || strings.HasPrefix(string(p), string(q)+"/")
}
