package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"hornbeamwood"
	"hornbeamwood/internal/cli/run"
	"hornbeamwood/internal/node/keys"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/node"
	"hornbeamwood/internal/standin/process"
)

const (
	controls = 3
	entries  = 2
	// keysValid is how long the demo's certificates are valid.
	keysValid = 30 * 24 * time.Hour
)

// site is the whole deployment.
type site struct {
	config     Config
	authority  keys.Authority
	control    []node.Peer
	entry      []node.Peer
	http       []netip.AddrPort
	components map[string]*component
}

func newSite(c Config) (*site, error) {
	s := &site{config: c, components: make(map[string]*component)}
	var err error
	if s.authority, err = loadAuthority(filepath.Join(c.Folder, "keys")); err != nil {
		return nil, err
	}
	for i := range controls {
		s.control = append(s.control, peer(fmt.Sprintf("control-%d", i+1)))
	}
	for i := range entries {
		s.entry = append(s.entry, peer(fmt.Sprintf("entry-%d", i+1)))
	}
	first, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("--listen: %w", err)
	}
	s.http = append(s.http, first)
	for range entries - 1 {
		s.http = append(s.http, freeAddress())
	}
	return s, nil
}

// loadAuthority returns the certificate authority of an earlier demo in the folder, or a new one.
func loadAuthority(folder string) (keys.Authority, error) {
	if a, err := keys.LoadAuthority(folder); err == nil {
		return a, nil
	}
	return keys.NewAuthority(folder, keysValid)
}

func peer(name string) node.Peer {
	return node.Peer{Name: name, Address: freeAddress(), Zone: "bogota-norte"}
}

// freeAddress returns an unused loopback address; the operating system does not assign the same port twice in a row.
func freeAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (s *site) file(p node.Peer, r node.Role) (node.File, error) {
	i, err := s.authority.Issue(keys.Request{Name: p.Name, Role: keys.Role(r), Valid: keysValid}, filepath.Join(s.config.Folder, "keys"))
	if err != nil {
		return node.File{}, err
	}
	return node.File{
		Name:                       p.Name,
		Role:                       r,
		Zone:                       p.Zone,
		Region:                     region,
		LogFormat:                  node.Text,
		BootstrapOperatorKeyDigest: digest.Of(bootstrapKey),
		Listen:                     node.Listen{QUIC: p.Address},
		Keys: node.Keys{
			Authority:   filepath.Join(s.config.Folder, "keys", keys.AuthorityCertificate),
			Certificate: i.CertificateFile,
			PrivateKey:  i.KeyFile,
		},
		Control: s.control,
		Entries: s.entry,
	}, nil
}

// start starts all components.
func (s *site) start() error {
	for _, p := range s.control {
		if err := s.startControl(p); err != nil {
			return err
		}
	}
	for i, p := range s.entry {
		if err := s.startEntry(p, s.http[i]); err != nil {
			return err
		}
	}
	s.startStandins()
	return nil
}

func (s *site) startControl(p node.Peer) error {
	f, err := s.file(p, node.Control)
	if err != nil {
		return err
	}
	f.DataFolder = filepath.Join(s.config.Folder, "data", p.Name)
	c, err := hornbeamwood.NewControl(hornbeamwood.Config{File: f, Logger: run.NewLogger(node.Text, s.config.Logs)})
	if err != nil {
		return err
	}
	s.components[p.Name] = startComponent(p.Name, c.Run)
	return nil
}

func (s *site) startEntry(p node.Peer, http netip.AddrPort) error {
	f, err := s.file(p, node.Entry)
	if err != nil {
		return err
	}
	f.Listen.HTTP = http
	e, err := hornbeamwood.NewEntry(hornbeamwood.Config{File: f, Logger: run.NewLogger(node.Text, s.config.Logs)})
	if err != nil {
		return err
	}
	s.components[p.Name] = startComponent(p.Name, e.Run)
	return nil
}

// startStandins starts stand-ins for small backend servers of both deployments.
func (s *site) startStandins() {
	s.startEngine("drafting-1", "draft", "lot-note-check")
	s.startEngine("drafting-2", "draft", "lot-note-check")
	s.startEngine("issuing-1", "status-read")
	s.startEngine("bulletin-1", "logbook-check", "schedule-question")
	s.startEngine("bulletin-2", "logbook-check", "schedule-question")
	s.startStandin("stamps-1", process.Service, process.File{Service: process.ServiceFile{Names: []string{"issue-stamps"}}})
	s.startStandin("records-1", process.Service, process.File{Service: process.ServiceFile{Names: []string{"station-records", "schedules"}}})
	s.startStandin("store-1", process.Store, process.File{Store: process.StoreFile{MemoryBytes: 1 << 30, DiskBytes: 4 << 30, LinkRate: 400 << 20}})
}

// Rates and sizes of the demo's engines; the prefill of a dossier of ten pieces takes about a second.
const (
	prefillRate = 40_000
	decodeRate  = 200
	maxRunning  = 16
	cachePieces = 14
	pieceBytes  = 1 << 20
)

func (s *site) startEngine(name string, models ...string) {
	s.startStandin(name, process.Engine, process.File{Engine: process.EngineFile{
		Models:        models,
		WeightVersion: "2026-11",
		PrefillRate:   prefillRate,
		DecodeRate:    decodeRate,
		MaxRunning:    maxRunning,
		CachePieces:   cachePieces,
		PieceBytes:    pieceBytes,
		ChecksFencing: true,
	}})
}

// anyLoopbackPort has the operating system choose the port when a stand-in listens. One that was found free before
// could be given to a connection meanwhile.
const anyLoopbackPort = "127.0.0.1:0"

func (s *site) startStandin(name string, k process.Kind, f process.File) {
	f.Identity = name
	f.Zone = "bogota-norte"
	f.Listen = anyLoopbackPort
	f.AnnounceKey = announceKey
	for _, a := range s.http {
		f.Entries = append(f.Entries, "http://"+a.String())
	}
	s.components[name] = startComponent(name, func(ctx context.Context) error {
		return process.Run(ctx, k, f, s.config.Logs)
	})
}

// stop stops all running components: backend servers first, then entries, then control replicas.
func (s *site) stop() error {
	groups := [][]string{{}, {}, {}}
	for name := range s.components {
		groups[s.group(name)] = append(groups[s.group(name)], name)
	}
	var all []error
	for _, g := range groups {
		all = append(all, s.stopAll(g))
	}
	return errors.Join(all...)
}

func (s *site) group(name string) int {
	for _, p := range s.control {
		if p.Name == name {
			return 2
		}
	}
	for _, p := range s.entry {
		if p.Name == name {
			return 1
		}
	}
	return 0
}

func (s *site) stopAll(names []string) error {
	errs := make([]error, len(names))
	var stopped sync.WaitGroup
	for i, n := range names {
		stopped.Go(func() { errs[i] = s.components[n].stop() })
	}
	stopped.Wait()
	for _, n := range names {
		delete(s.components, n)
	}
	return errors.Join(errs...)
}

func (s *site) url(entry int) string {
	return "http://" + s.http[entry].String()
}
