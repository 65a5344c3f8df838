package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509/pkix"
	"fmt"
	"time"
)

const (
	// openValid is how long a key made at start is valid; peers don't check it, a process rarely lives that long.
	openValid = 10 * 365 * 24 * time.Hour
	// openResetDomain keeps the reset keys of open rings apart from those made from private keys.
	openResetDomain = "hornbeamwood open reset 1"
)

// openRing holds a key made at start; it takes the word of every peer for its name and role.
type openRing struct {
	name        string
	role        Role
	certificate tls.Certificate
}

// NewOpenRing returns a ring for a network that only the system's own VMs reach and on which no key files are handed out.
//
// Connections are encrypted, which keeps packets of an earlier process at the
// same address from being taken for those of the present one, but whoever
// reaches the port is believed.
func NewOpenRing(name string, role Role) (Ring, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	t, err := template(pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}}, openValid)
	if err != nil {
		return nil, err
	}
	t.DNSNames = []string{ServerName}
	c, err := sign(t, t, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return &openRing{
		name:        name,
		role:        role,
		certificate: tls.Certificate{Certificate: [][]byte{c.Raw}, PrivateKey: key, Leaf: c},
	}, nil
}

// Reload implements Ring; there are no files to read.
func (r *openRing) Reload() error {
	return nil
}

// Expires implements Ring.
func (r *openRing) Expires() time.Time {
	return r.certificate.Leaf.NotAfter
}

// Name implements Ring.
func (r *openRing) Name() string {
	return r.name
}

// ResetKey implements Ring.
//
// It depends on the name alone, so that a process that was killed can end its
// predecessor's connections. Who could forge a reset could also pose as the
// process, see NewOpenRing.
func (r *openRing) ResetKey() [32]byte {
	return sha256.Sum256([]byte(openResetDomain + r.name))
}

// TLS implements Ring.
func (r *openRing) TLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// After a loss of all processes each replica has a handshake with every entry
		// before it can tell anything. Keys that nobody vouches for gain nothing from
		// the larger exchange that also resists quantum computers.
		CurvePreferences:   []tls.CurveID{tls.X25519},
		NextProtos:         []string{protocol},
		ServerName:         ServerName,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		Certificates:       []tls.Certificate{r.certificate},
	}
}
