package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// Config holds the paths of a node's key files.
type Config struct {
	// CertificateFile is the node's PEM certificate.
	CertificateFile string
	// KeyFile is the node's PEM private key.
	KeyFile string
	// AuthorityFile contains the PEM certificates of all trusted authorities, two of them during a rotation.
	AuthorityFile string
}

// Ring holds a node's keys and can reload them while connections use them.
type Ring interface {
	// Reload reads the files again. On an error the current keys remain in use.
	Reload() error
	// Expires returns when the node's certificate expires.
	Expires() time.Time
	// TLS returns a configuration for mutual TLS that uses the keys of the latest Reload.
	TLS(protocol string) *tls.Config
	// Name returns the node's name from its certificate.
	Name() string
	// ResetKey returns a secret that remains the same across restarts with the same keys.
	ResetKey() [32]byte
}

type ring struct {
	config Config
	loaded atomic.Pointer[loaded]
}

type loaded struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewRing returns a ring with the keys in the files of c. It fails if they are unreadable, expired or don't match.
func NewRing(c Config) (Ring, error) {
	r := &ring{config: c}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload implements Ring.
func (r *ring) Reload() error {
	c, err := tls.LoadX509KeyPair(r.config.CertificateFile, r.config.KeyFile)
	if err != nil {
		return fmt.Errorf("keys: load %s with %s: %w", r.config.CertificateFile, r.config.KeyFile, err)
	}
	b, err := os.ReadFile(r.config.AuthorityFile)
	if err != nil {
		return fmt.Errorf("keys: authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return fmt.Errorf("keys: %s contains no certificate", r.config.AuthorityFile)
	}
	if err := verify(c.Leaf, pool); err != nil {
		return fmt.Errorf("keys: %s: %w", r.config.CertificateFile, err)
	}
	r.loaded.Store(&loaded{certificate: c, authorities: pool})
	return nil
}

// Expires implements Ring.
func (r *ring) Expires() time.Time {
	return r.loaded.Load().certificate.Leaf.NotAfter
}

// Name implements Ring.
func (r *ring) Name() string {
	return r.loaded.Load().certificate.Leaf.Subject.CommonName
}

// resetDomain separates the reset key from other uses of the private key.
const resetDomain = "hornbeamwood stateless reset 1"

// ResetKey implements Ring.
func (r *ring) ResetKey() [32]byte {
	b, err := x509.MarshalPKCS8PrivateKey(r.loaded.Load().certificate.PrivateKey)
	if err != nil {
		return [32]byte{}
	}
	return sha256.Sum256(append([]byte(resetDomain), b...))
}

// TLS implements Ring.
//
// VerifyConnection replaces the standard verification, which InsecureSkipVerify
// disables. RootCAs is fixed when a tls.Config is created, and a ring must trust
// a new authority without a restart.
func (r *ring) TLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		ServerName:         ServerName,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.loaded.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.loaded.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("keys: the peer sent no certificate")
			}
			return verify(s.PeerCertificates[0], r.loaded.Load().authorities)
		},
	}
}

func verify(c *x509.Certificate, pool *x509.CertPool) error {
	_, err := c.Verify(x509.VerifyOptions{
		DNSName:   ServerName,
		Roots:     pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	return err
}
