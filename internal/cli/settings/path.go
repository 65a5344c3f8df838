package settings

import (
	"hornbeamwood/internal/settings/tree"
)

// branch parses the branch argument.
func (c Config) branch() (tree.Path, error) {
	p, err := tree.ParsePath(c.Path)
	if err != nil {
		return "", usage("PATH", "%v", err)
	}
	return p, nil
}

// setting parses the branch and setting arguments.
func (c Config) setting() (tree.Path, tree.Setting, error) {
	p, err := c.branch()
	if err != nil {
		return "", tree.Setting{}, err
	}
	if c.Setting == "" {
		return "", tree.Setting{}, usage("KEY", "the name of a setting is required")
	}
	s, err := tree.Lookup(p.Kind(), c.Setting)
	if err != nil {
		return "", s, usage("KEY", "%s: %v", tree.Label(p, c.Setting), err)
	}
	return p, s, nil
}
