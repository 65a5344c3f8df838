package entry

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"hornbeamwood/internal/cache/directory"
	cachequic "hornbeamwood/internal/cache/quic"
	"hornbeamwood/internal/cache/store"
	"hornbeamwood/internal/entry/backend"
	"hornbeamwood/internal/entry/caller"
	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/entry/control"
	"hornbeamwood/internal/entry/engine"
	"hornbeamwood/internal/entry/quarantine"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/entry/settings"
	"hornbeamwood/internal/fleet/membership"
	fleetquic "hornbeamwood/internal/fleet/quic"
	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/node/httphead"
	"hornbeamwood/internal/node/tunnel"
	"hornbeamwood/internal/policy/backoff"
	"hornbeamwood/internal/policy/reach"
)

const (
	maxIdleConns   = 64
	idleTimeout    = 30 * time.Second
	attemptIDBytes = 16
	// maxHeaderBytes bounds the head of a response, several times what servers send.
	maxHeaderBytes = 64 << 10
)

// components holds the components of an entry, which build creates.
type components struct {
	control       control.Client
	settings      settings.LeasedSettings
	table         membership.Table
	work          membership.Work
	gossip        fleetquic.Carrier
	cache         cachequic.Cache
	engines       engine.Client
	orders        backend.Engine
	stores        store.Client
	services      service.Client
	router        completion.Router
	caller        caller.Handler
	leaveNotifier backend.LeaveNotifier
	// directory is this entry's share of the cache directory.
	directory   directory.Directory
	guard       quarantine.Guard
	backoffs    backoff.Backoffs
	orderIssuer backend.OrderIssuer
	paths       reach.Paths
	tunnels     tunnel.Tunnels
	dialer      dial.Dialer
	exports     completion.Exports
}

// newRandom returns a randomly seeded source, so that entries with the same view don't all make the same choices.
func newRandom() *rand.Rand {
	var b [16]byte
	_, _ = crand.Read(b[:])
	return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(b[:8]), binary.LittleEndian.Uint64(b[8:])))
}

func newAttemptID() string {
	var b [attemptIDBytes]byte
	_, _ = crand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newHTTPClient returns a client for backend servers that follows no redirects.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: httphead.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes}),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// peers returns the addresses of the other entries of the cell.
func (p *process) peers() map[string]string {
	all := make(map[string]string)
	for _, e := range p.config.File.Entries {
		if e.Name != p.config.File.Name {
			all[e.Name] = e.Address.String()
		}
	}
	return all
}

func (p *process) replicas() []string {
	var all []string
	for _, r := range p.config.File.Control {
		all = append(all, r.Address.String())
	}
	return all
}
