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
	// openValid is the validity of a certificate created at start. Peers don't check it, and processes rarely run that long.
	openValid = 10 * 365 * 24 * time.Hour
	// openResetDomain separates the reset keys of open rings from those derived from private keys.
	openResetDomain = "hornbeamwood open reset 1"
)

// openRing holds a key that is generated at start. It accepts every peer's name and role without verification.
type openRing struct {
	name        string
	role        Role
	certificate tls.Certificate
}

// NewOpenRing returns a ring for a network that only the system's own VMs can reach and on which no key files are distributed.
//
// Connections are encrypted, so that packets of an earlier process at the same
// address aren't attributed to the current one. Peers are not authenticated:
// whoever can reach the port is accepted.
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

// Reload implements Ring. It does nothing, because there are no files to read.
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
// It depends only on the name, so that a restarted process can reset the
// connections of its killed predecessor. An attacker who can forge a reset could
// also impersonate the process, see NewOpenRing.
func (r *openRing) ResetKey() [32]byte {
	return sha256.Sum256([]byte(openResetDomain + r.name))
}

// TLS implements Ring.
func (r *openRing) TLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// After a loss of all processes, each replica must complete a handshake with
		// every entry before it can send anything. The larger post-quantum key exchange
		// would add no security, because the peers' keys are not authenticated.
		CurvePreferences:   []tls.CurveID{tls.X25519},
		NextProtos:         []string{protocol},
		ServerName:         ServerName,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		Certificates:       []tls.Certificate{r.certificate},
	}
}
