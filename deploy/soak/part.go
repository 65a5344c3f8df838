package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Numbers of servers of each service and of callers that are processes of their own.
const (
	backendsPerService = 3
	callersPerSite     = 4
	// backendPort is the port of a server.
	backendPort = 9000
)

// parts holds the servers and callers of a run that are processes of their own.
type parts struct {
	site     *site
	backends []*part
	callers  []*part
	// numberings is how the servers of each service number events.
	numberings map[string]int
	started    int
	// kills counts what was killed.
	kills int
	// end is when nothing more is killed.
	end time.Time
}

// over returns whether nothing more is killed.
func (p *parts) over() bool { return !time.Now().Before(p.end) }

// part is a server or a caller that is a process of its own; it is the same part after a restart.
type part struct {
	*process
	// place tells the servers of a service and the callers apart.
	place int
	// service, id, address and software are those of a server.
	service, id, address, software string
}

// noteKill notes and counts a kill.
func (p *parts) noteKill(format string, args ...any) {
	p.site.record.note(format, args...)
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	p.kills++
}

// newPart returns a part that is not running yet.
func (p *parts) newPart(verb, name string, place int) (*part, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return &part{place: place, process: &process{
		name: name, role: verb, program: self, log: filepath.Join(p.site.folder, name+".log"),
		onExit: func(x *process, ran time.Duration, err error) {
			p.site.record.reportViolation("%s ended by itself after %s: %v", x.name, ran, err)
		},
	}}, nil
}

// startBackend starts a server with the software, under its ID and address or under new ones.
func (p *parts) startBackend(x *part, software string, renamed bool) error {
	s := p.site
	s.mu.Lock()
	p.started++
	n := p.started
	s.mu.Unlock()
	if renamed {
		x.id, x.address = fmt.Sprintf("p-%d-%d", s.seed, n), fmt.Sprintf("%s%d:%d", s.network, 100+n%150, backendPort)
	}
	x.software = software
	x.arguments = []string{
		"--id", x.id, "--service", x.service, "--software", software, "--address", x.address,
		"--seed", fmt.Sprint(s.seed<<20 - s.seed<<20%uint64(framings) + uint64(n)*uint64(framings) + uint64(x.place)),
		"--numbering", fmt.Sprint(p.numberings[x.service]), "--weights", fmt.Sprint(s.orders.newestVersion()),
	}
	for _, control := range s.seeds {
		x.arguments = append(x.arguments, "--control", control)
	}
	return x.start()
}

// startCaller starts a caller, which sends other requests than before.
func (p *parts) startCaller(x *part, long bool) error {
	s := p.site
	s.mu.Lock()
	p.started++
	n := p.started
	s.mu.Unlock()
	protocol, closes := "1.1", x.place == 1
	if x.place == 2 {
		protocol = "1.0"
	}
	x.arguments = []string{"--name", fmt.Sprintf("%d-c%d-%d", s.seed, x.place, n), "--protocol", protocol, "--seed", fmt.Sprint(s.seed<<20 + uint64(n))}
	if closes {
		x.arguments = append(x.arguments, "--closes")
	}
	if long {
		x.arguments = append(x.arguments, "--long")
	}
	for _, e := range s.entries {
		x.arguments = append(x.arguments, "--front", e.ip+":8005")
	}
	return x.start()
}

// all returns all parts.
func (p *parts) all() []*part {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	return append(append([]*part{}, p.backends...), p.callers...)
}
