package node

import (
	"fmt"
	"net/netip"

	"hornbeamwood/internal/settings/tomlfile"
)

// checker collects the errors of a file that decoding does not detect.
type checker struct {
	file      string
	lines     tomlfile.Lines
	problems  tomlfile.Problems
	names     map[string]string
	addresses map[netip.AddrPort]string
}

func check(file string, data []byte, f File) tomlfile.Problems {
	c := &checker{
		file:      file,
		lines:     tomlfile.LinesOf(data),
		names:     map[string]string{},
		addresses: map[netip.AddrPort]string{},
	}
	c.identity(f)
	c.listen(f)
	c.clients(f.Clients)
	c.peers("control", f.Control)
	c.peers("entries", f.Entries)
	c.checkSelf(f)
	return c.problems
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, tomlfile.Problem{
		File:    c.file,
		Line:    c.lines.Of(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "is required")
	}
}

func (c *checker) identity(f File) {
	c.required("name", f.Name)
	if f.Role != Entry && f.Role != Control {
		c.add("role", "is %q or %q, not %q", Entry, Control, f.Role)
	}
	if f.LogFormat != JSON && f.LogFormat != Text {
		c.add("log-format", "is %q or %q, not %q", JSON, Text, f.LogFormat)
	}
	c.required("zone", f.Zone)
	c.required("region", f.Region)
	if f.Role == Control {
		c.required("data-folder", f.DataFolder)
	}
	if f.Role == Entry && f.DataFolder != "" {
		c.add("data-folder", "an entry stores no files; only a control replica has a data folder")
	}
	c.required("keys.authority", f.Keys.Authority)
	c.required("keys.certificate", f.Keys.Certificate)
	c.required("keys.private-key", f.Keys.PrivateKey)
}

func (c *checker) listen(f File) {
	if !f.Listen.QUIC.IsValid() {
		c.add("listen.quic", "is required")
	}
	if f.Role == Entry && !f.Listen.HTTP.IsValid() {
		c.add("listen.http", "is required of an entry")
	}
	if f.Role == Control && f.Listen.HTTP.IsValid() {
		c.add("listen.http", "a control replica serves no callers")
	}
	if f.Listen.HTTP.IsValid() && f.Listen.HTTP.Port() != 0 && f.Listen.HTTP == f.Listen.Metrics {
		c.add("listen.metrics", "%s is already listen.http; leave it out to serve metrics there", f.Listen.Metrics)
	}
}

// clients rejects bounds that are out of range.
func (c *checker) clients(l Clients) {
	key := ""
	err := l.bounds().Check(func(field string) string {
		key = "clients." + field
		if field == "memory" {
			key = "clients.memory-mb"
		}
		return key
	})
	if err != nil {
		c.add(key, "is out of range")
	}
}

// peers rejects processes with the same name or address: one could answer for the
// other, and the vote of a replica could count twice.
func (c *checker) peers(key string, peers []Peer) {
	for i, p := range peers {
		at := fmt.Sprintf("%s[%d]", key, i)
		c.required(at+".name", p.Name)
		if !p.Address.IsValid() || p.Address.Port() == 0 {
			c.add(at+".address", "an IP address and a port are required")
			continue
		}
		if previous, ok := c.names[p.Name]; ok && p.Name != "" {
			c.add(at+".name", "%q is already the name of %s", p.Name, previous)
		}
		if previous, ok := c.addresses[p.Address]; ok {
			c.add(at+".address", "%s is already the address of %s", p.Address, previous)
		}
		c.names[p.Name] = at
		c.addresses[p.Address] = at
	}
}

// checkSelf rejects a file that lists the process's own name with another address
// or role: two processes would then claim the same identity.
func (c *checker) checkSelf(f File) {
	if len(f.Control) == 0 {
		c.add("control", "at least one control replica is required")
	}
	own, key := f.Entries, "entries"
	other, otherKey := f.Control, "control"
	if f.Role == Control {
		own, key, other, otherKey = other, otherKey, own, key
	}
	for i, p := range other {
		if p.Name == f.Name {
			c.add(fmt.Sprintf("%s[%d].name", otherKey, i), "%q is the name of this node, which has another role", p.Name)
		}
	}
	listed := false
	for i, p := range own {
		listed = listed || p.Name == f.Name
		c.samePort(fmt.Sprintf("%s[%d].address", key, i), f, p)
	}
	if f.Role == Control && !listed && f.Name != "" {
		c.add("control", "does not list this node, %q", f.Name)
	}
}

func (c *checker) samePort(key string, f File, p Peer) {
	q := f.Listen.QUIC
	if p.Name == f.Name && q.IsValid() && q.Port() != 0 && p.Address.Port() != q.Port() {
		c.add(key, "this node listens on %s", q)
	}
	if p.Name != f.Name && p.Address == q {
		c.add(key, "%s is where this node listens, and its name is %q", q, f.Name)
	}
}
