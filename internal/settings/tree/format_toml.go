package tree

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FormatTOML returns branches as TOML, one table each, in the form that ParseTOML reads.
// The first branch is p, the ancestor of all others.
func FormatTOML(p Path, branches []Branch) ([]byte, error) {
	var b bytes.Buffer
	for _, branch := range branches {
		if branch.Path != p {
			writeHeader(&b, p, branch.Path)
		}
		for _, a := range branch.Values {
			line, err := toml.Marshal(document{a.Key: a.Value.Document()})
			if err != nil {
				return nil, fmt.Errorf("settings tree: %s: %w", Label(branch.Path, a.Key), err)
			}
			b.Write(line)
		}
	}
	return b.Bytes(), nil
}

// writeHeader writes the table header of branch q in a document whose root is branch p.
func writeHeader(b *bytes.Buffer, p, q Path) {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	relative := strings.TrimPrefix(strings.TrimPrefix(string(q), string(p)), "/")
	parts := strings.Split(relative, "/")
	for i, part := range parts {
		if strings.Contains(part, ".") {
			parts[i] = fmt.Sprintf("%q", part)
		}
	}
	fmt.Fprintf(b, "[%s]\n", strings.Join(parts, "."))
}
