package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validFile = `name = "entry-1"
role = "entry"
zone = "tunja"
region = "andes-centro"
bootstrap-operator-key-digest = "sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

[listen]
http = "127.0.0.1:8080"
quic = "127.0.0.1:7100"

[keys]
authority = "ca.pem"
certificate = "entry-1.pem"
private-key = "entry-1.key"

[[control]]
name = "control-1"
address = "127.0.0.1:7000"

[[control]]
name = "control-2"
address = "127.0.0.1:7001"

[[entries]]
name = "entry-1"
address = "127.0.0.1:7100"
zone = "tunja"
`

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(validFile), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if f.Role != Entry || f.LogFormat != JSON || f.Listen.HTTP.Port() != 8080 || len(f.Control) != 2 {
		t.Errorf("got %+v", f)
	}
	if f.BootstrapOperatorKeyDigest.IsZero() {
		t.Error("the bootstrap digest is missing")
	}
}

// A file with a mistyped key or a line copied from another VM's file must be
// rejected. The message names the file, the line and the key, so that the operator
// finds the line.
func TestProblemsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"mistyped key":        {"zone = \"tunja\"\nregion", "zoen = \"tunja\"\nregion", "n.toml:3: zoen: unknown key; the nearest known key is zone"},
		"mistyped nested key": {"quic = ", "qiuc = ", "n.toml:9: listen.qiuc: unknown key; the nearest known key is quic"},
		"wrong role":          {`"entry"`, `"router"`, `n.toml:2: role: `},
		"host name":           {"127.0.0.1:8080", "localhost:8080", "n.toml:8: listen.http: "},
		"same name twice":     {`"control-2"`, `"control-1"`, `n.toml:21: control[1].name: "control-1" is already the name of control[0]`},
		"same address twice":  {"127.0.0.1:7001", "127.0.0.1:7000", "n.toml:22: control[1].address: 127.0.0.1:7000 is already the address of control[0]"},
		"own name elsewhere":  {"address = \"127.0.0.1:7100\"", "address = \"127.0.0.1:7101\"", "n.toml:26: entries[0].address: this node listens on 127.0.0.1:7100"},
		"own address taken":   {"[[entries]]\nname = \"entry-1\"", "[[entries]]\nname = \"entry-2\"", "n.toml:26: entries[0].address: 127.0.0.1:7100 is where this node listens"},
		"own name as control": {`"control-2"`, `"entry-1"`, `n.toml:21: control[1].name: "entry-1" is the name of this node`},
		"short digest":        {"a25b\"", "\"", "n.toml:5: bootstrap-operator-key-digest: "},
		"no TOML":             {"[listen]", "[listen", "n.toml:7:"},
		"negative memory":     {"[keys]", "[clients]\nmemory-mb = -1\n[keys]", "clients.memory-mb: is out of range"},
		"negative time":       {"[keys]", "[clients]\nstall-time = \"-1s\"\n[keys]", "clients.stall-time: is out of range"},
		"no time":             {"[keys]", "[clients]\nbody-timeout = \"soon\"\n[keys]", "clients.body-timeout: "},
		"no connections":      {"[keys]", "[clients]\nconnections = -5\n[keys]", "clients.connections: is out of range"},
		"missing key file":    {"authority = \"ca.pem\"\n", "", "n.toml:11: keys.authority: is required"},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		if text == validFile {
			t.Fatalf("%s: nothing replaced", name)
		}
		_, err := Parse("n.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[[control]]\nname=\"a\"\n[control]\n"))
	f.Add([]byte("listen = {http = \"1.2.3.4:1\", x = 1}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = Parse("f", b)
	})
}
