package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// File names of an authority's certificate and private key in its folder.
const (
	AuthorityCertificate = "ca.pem"
	AuthorityKey         = "ca-key.pem"
)

// backdate is how long before its creation a certificate becomes valid, for VMs whose clocks are slightly behind.
const backdate = 5 * time.Minute

// serialBits is the size of random serial numbers in bits.
const serialBits = 120

// Authority signs node certificates.
type Authority interface {
	// Issue creates a certificate and writes NAME.pem and NAME-key.pem into folder.
	Issue(r Request, folder string) (Issued, error)
}

// Request describes the node for which a certificate is issued.
type Request struct {
	// Name is the node's name in the settings.
	Name string
	// Role determines what the node may do.
	Role Role
	// Valid is how long the certificate is valid.
	Valid time.Duration
}

// Issued holds the file paths and the expiry of an issued certificate.
type Issued struct {
	// CertificateFile is the path of the PEM certificate.
	CertificateFile string
	// KeyFile is the path of the PEM private key, which only its owner can read.
	KeyFile string
	// NotAfter is when the certificate expires.
	NotAfter time.Time
}

type authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates a certificate authority in folder. It fails if folder contains one already and leaves that one unchanged.
func NewAuthority(folder string, valid time.Duration) (Authority, error) {
	path := filepath.Join(folder, AuthorityKey)
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("keys: %s already exists; nodes with certificates of the existing authority would be refused under a new one", path)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	t, err := template(pkix.Name{CommonName: "hornbeamwood authority"}, valid)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	c, err := sign(t, t, key.Public(), key)
	if err != nil {
		return nil, err
	}
	if err := writeKey(path, key); err != nil {
		return nil, err
	}
	if err := writeCertificate(filepath.Join(folder, AuthorityCertificate), c); err != nil {
		return nil, err
	}
	return &authority{certificate: c, key: key}, nil
}

// LoadAuthority returns the authority whose files are in folder.
func LoadAuthority(folder string) (Authority, error) {
	c, err := readCertificate(filepath.Join(folder, AuthorityCertificate))
	if err != nil {
		return nil, err
	}
	k, err := readKey(filepath.Join(folder, AuthorityKey))
	if err != nil {
		return nil, err
	}
	return &authority{certificate: c, key: k}, nil
}

// Issue implements Authority.
func (a *authority) Issue(r Request, folder string) (Issued, error) {
	if err := checkName(r.Name); err != nil {
		return Issued{}, err
	}
	if r.Role != Entry && r.Role != Control && r.Role != Operator {
		return Issued{}, fmt.Errorf("keys: unknown role %q, want entry, control or operator", r.Role)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Issued{}, fmt.Errorf("keys: %w", err)
	}
	t, err := template(pkix.Name{CommonName: r.Name, OrganizationalUnit: []string{string(r.Role)}}, r.Valid)
	if err != nil {
		return Issued{}, err
	}
	t.DNSNames = []string{ServerName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	c, err := sign(t, a.certificate, key.Public(), a.key)
	if err != nil {
		return Issued{}, err
	}
	return writePair(folder, r.Name, c, key)
}

func template(name pkix.Name, valid time.Duration) (*x509.Certificate, error) {
	if valid <= 0 {
		return nil, fmt.Errorf("keys: the validity of a certificate must be positive, got %s", valid)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      name,
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(valid),
	}, nil
}

func sign(t, parent *x509.Certificate, public crypto.PublicKey, key crypto.Signer) (*x509.Certificate, error) {
	b, err := x509.CreateCertificate(rand.Reader, t, parent, public, key)
	if err != nil {
		return nil, fmt.Errorf("keys: sign: %w", err)
	}
	return x509.ParseCertificate(b)
}

func checkName(name string) error {
	if name == "" || name != filepath.Base(name) || name == "." || name == ".." {
		return fmt.Errorf("keys: node name %q is not a valid file name", name)
	}
	return nil
}
