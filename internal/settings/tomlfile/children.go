package tomlfile

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxChildren is how many keys a table may have. The time to decode a table grows with the square of their number.
const MaxChildren = 1 << 15

// CheckChildren returns Problems if a table of a TOML text has more than MaxChildren keys. It reads up to the first syntax
// error.
func CheckChildren(file string, data []byte) error {
	c := childCounter{ids: map[child]int{}, counts: []int{0}}
	c.parser.Reset(data)
	table := 0
	for c.parser.NextExpression() && c.full == "" {
		e := c.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = c.key(e, 0)
		case unstable.KeyValue:
			c.value(e.Value(), c.key(e, table))
		}
	}
	if c.full == "" {
		return nil
	}
	return Problems{{File: file, Key: c.full, Message: fmt.Sprintf("a table has %d keys at most", MaxChildren)}}
}

// child is a key in a table.
type child struct {
	table int
	name  string
}

// childCounter counts the keys of each table, which it numbers from 0 for the whole text.
type childCounter struct {
	parser unstable.Parser
	ids    map[child]int
	counts []int
	// full is the key that is one too many, or empty.
	full string
}

// key counts the parts of a key in a table and returns the number of the table that the whole key names.
func (c *childCounter) key(e *unstable.Node, table int) int {
	for it := e.Key(); it.Next(); {
		x := child{table, string(it.Node().Data)}
		id, ok := c.ids[x]
		if !ok {
			id = len(c.counts)
			c.ids[x] = id
			c.counts = append(c.counts, 0)
			if c.counts[table]++; c.counts[table] > MaxChildren {
				c.full = x.name
			}
		}
		table = id
	}
	return table
}

// value counts the keys in inline tables.
func (c *childCounter) value(v *unstable.Node, table int) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			c.value(it.Node().Value(), c.key(it.Node(), table))
		}
	case unstable.Array:
		for it := v.Children(); it.Next(); {
			c.value(it.Node(), table)
		}
	}
}
