package keys

import (
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

func writePair(folder, name string, c *x509.Certificate, key crypto.Signer) (Issued, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Issued{}, fmt.Errorf("keys: %w", err)
	}
	i := Issued{
		CertificateFile: filepath.Join(folder, name+".pem"),
		KeyFile:         filepath.Join(folder, name+"-key.pem"),
		NotAfter:        c.NotAfter,
	}
	if err := writeKey(i.KeyFile, key); err != nil {
		return Issued{}, err
	}
	return i, writeCertificate(i.CertificateFile, c)
}

func writeKey(path string, key crypto.Signer) error {
	b, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return replaceFile(path, pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: b}), 0o600)
}

func writeCertificate(path string, c *x509.Certificate) error {
	return replaceFile(path, pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: c.Raw}), 0o644)
}

// replaceFile replaces the file atomically. Otherwise a running process that
// reads the pair during a rotation could read an incomplete file.
func replaceFile(path string, b []byte, mode fs.FileMode) error {
	next := path + ".next"
	if err := os.WriteFile(next, b, mode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

func readCertificate(path string) (*x509.Certificate, error) {
	b, err := readBlock(path, certificateBlock)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(b)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return c, nil
}

func readKey(path string) (crypto.Signer, error) {
	b, err := readBlock(path, keyBlock)
	if err != nil {
		return nil, err
	}
	k, err := x509.ParsePKCS8PrivateKey(b)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	s, ok := k.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("keys: %s: a key of type %T can't sign", path, k)
	}
	return s, nil
}

func readBlock(path, kind string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrPermission) {
		return nil, fmt.Errorf("keys: this user may not read %s: %w", path, err)
	}
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	p, _ := pem.Decode(b)
	if p == nil || p.Type != kind {
		return nil, fmt.Errorf("keys: %s contains no PEM block of type %s", path, kind)
	}
	return p.Bytes, nil
}
