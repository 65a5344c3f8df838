package hornbeamwood_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/settings/digest"
)

// Keys and ports that all fleets of these tests use; each process has its own loopback IP.
const (
	operatorKey = "operator-key"
	announceKey = "announce-key"
	httpPort    = 8080
	quicPort    = 7100
)

// fleet is a whole deployment on loopback.
type fleet struct {
	t         *testing.T
	folder    string
	authority keys.Authority
	network   string
	hosts     int
	controls  []*host
	entries   []*host
	engines   []*host
	stores    []*host
	processes map[string]*process
	// fillers counts the prompts that were sent to evict others from the engines' memory.
	fillers int
}

// host is one VM with its address and its process.
type host struct {
	name string
	ip   string
	file string
	kind string
}

func (h *host) url() string {
	return fmt.Sprintf("http://%s:%d", h.ip, httpPort)
}

// newFleet writes keys and node files for a deployment and starts no processes.
func newFleet(t *testing.T, controls, entries int) *fleet {
	t.Helper()
	folder := t.TempDir()
	a, err := keys.NewAuthority(folder, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t:         t,
		folder:    folder,
		authority: a,
		network:   network(),
		processes: make(map[string]*process),
	}
	for i := range controls {
		f.controls = append(f.controls, f.host(fmt.Sprintf("control-%d", i+1)))
	}
	for i := range entries {
		f.entries = append(f.entries, f.host(fmt.Sprintf("entry-%d", i+1)))
	}
	for _, h := range f.controls {
		f.nodeFile(h, keys.Control)
	}
	for _, h := range f.entries {
		f.nodeFile(h, keys.Entry)
	}
	return f
}

// networks counts the fleets of this test process.
var networks int

// network returns the first three octets of loopback addresses that no other test process uses.
func network() string {
	networks++
	n := os.Getpid()*8 + networks
	return fmt.Sprintf("127.%d.%d", 16+n/250%200, n%250)
}

func (f *fleet) host(name string) *host {
	f.hosts++
	return &host{name: name, ip: fmt.Sprintf("%s.%d", f.network, f.hosts), file: filepath.Join(f.folder, name+".toml")}
}

func (f *fleet) nodeFile(h *host, r keys.Role) {
	f.t.Helper()
	i, err := f.authority.Issue(keys.Request{Name: h.name, Role: r, Valid: time.Hour}, f.folder)
	if err != nil {
		f.t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nrole = %q\nzone = \"tunja\"\nregion = \"andes-centro\"\nlog-format = \"text\"\n", h.name, r)
	fmt.Fprintf(&b, "bootstrap-operator-key-digest = %q\n", digest.Of(operatorKey))
	if r == keys.Control {
		fmt.Fprintf(&b, "data-folder = %q\n", filepath.Join(f.folder, "data-"+h.name))
	}
	fmt.Fprintf(&b, "[listen]\nquic = \"%s:%d\"\n", h.ip, quicPort)
	if r == keys.Entry {
		fmt.Fprintf(&b, "http = \"%s:%d\"\n", h.ip, httpPort)
	}
	fmt.Fprintf(&b, "[keys]\nauthority = %q\ncertificate = %q\nprivate-key = %q\n",
		filepath.Join(f.folder, keys.AuthorityCertificate), i.CertificateFile, i.KeyFile)
	for _, c := range f.controls {
		fmt.Fprintf(&b, "[[control]]\nname = %q\naddress = \"%s:%d\"\n", c.name, c.ip, quicPort)
	}
	for _, e := range f.entries {
		fmt.Fprintf(&b, "[[entries]]\nname = %q\naddress = \"%s:%d\"\nzone = \"tunja\"\n", e.name, e.ip, quicPort)
	}
	f.write(h.file, b.String())
}

func (f *fleet) write(path, text string) {
	f.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) startControl(h *host) *process {
	f.processes[h.name] = start(f.t, h.name, "hornbeamwood", "control", "--settings", h.file)
	return f.processes[h.name]
}

func (f *fleet) startEntry(h *host) *process {
	f.processes[h.name] = start(f.t, h.name, "hornbeamwood", "entry", "--settings", h.file)
	return f.processes[h.name]
}

// startStandin runs a stand-in with the given tables in its settings file.
func (f *fleet) startStandin(name, kind, tables string) *host {
	h := f.host(name)
	var urls []string
	for _, e := range f.entries {
		urls = append(urls, fmt.Sprintf("%q", e.url()))
	}
	f.write(h.file, fmt.Sprintf("identity = %q\nzone = \"tunja\"\nlisten = \"%s:%d\"\nentries = [%s]\nannounce-key = %q\n%s",
		name, h.ip, httpPort, strings.Join(urls, ", "), announceKey, tables))
	h.kind = kind
	f.restartStandin(h)
	return h
}

func (f *fleet) restartStandin(h *host) *process {
	f.processes[h.name] = start(f.t, h.name, "standin", h.kind, "--settings", h.file)
	return f.processes[h.name]
}

// startNodes starts all replicas and entries.
func (f *fleet) startNodes() {
	f.t.Helper()
	for _, h := range f.controls {
		f.startControl(h)
	}
	for _, h := range f.entries {
		f.startEntry(h)
	}
}

// stopAll stops processes gracefully, all at once, and checks their exit codes.
func (f *fleet) stopAll(hosts []*host) {
	f.t.Helper()
	var stopped sync.WaitGroup
	for _, h := range hosts {
		stopped.Go(func() {
			if code := f.processes[h.name].stop(); code != 0 {
				f.t.Errorf("%s: exit code %d after SIGTERM", h.name, code)
			}
		})
	}
	stopped.Wait()
}
