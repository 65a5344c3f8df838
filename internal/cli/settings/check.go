package settings

import (
	"errors"
	"fmt"
	"io"

	"github.com/pelletier/go-toml/v2"

	"hornbeamwood/internal/settings/node"
	"hornbeamwood/internal/settings/tomlfile"
	"hornbeamwood/internal/settings/tree"
)

// Check validates a node file or a settings tree without starting anything. Errors in the file are returned as tomlfile.Problems.
func Check(c Config, stdout io.Writer) error {
	b, err := c.read()
	if err != nil {
		return err
	}
	if isNodeFile(b) {
		f, err := node.Parse(c.File, b)
		if err != nil {
			return err
		}
		fmt.Fprintf(stdout, "%s: a valid node file of %s %s\n", c.File, f.Role, f.Name)
		return nil
	}
	t, err := CheckTree(c.File, b)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s: a valid settings tree of %d branches\n", c.File, len(t.Paths(tree.RootPath)))
	return nil
}

// isNodeFile reports whether a TOML text is a node file: only those have a role.
func isNodeFile(b []byte) bool {
	var top struct {
		Role any `toml:"role"`
	}
	err := toml.Unmarshal(b, &top)
	return err == nil && top.Role != nil
}

// CheckTree returns the settings tree in a TOML text, or tomlfile.Problems with file, line and key if it is invalid.
func CheckTree(file string, b []byte) (tree.Tree, error) {
	s, err := tree.ParseTOML(tree.RootPath, file, b)
	if err != nil {
		return tree.Tree{}, err
	}
	t, _, err := tree.Tree{}.Edit([]tree.Change{s.Replace()})
	var problems tomlfile.Problems
	if errors.As(err, &problems) {
		return tree.Tree{}, s.Locate(file, problems)
	}
	return t, err
}
