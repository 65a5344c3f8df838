package keys

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const day = 24 * time.Hour

func issue(t *testing.T, a Authority, folder, name string, valid time.Duration) Config {
	t.Helper()
	i, err := a.Issue(Request{Name: name, Role: Entry, Valid: valid}, folder)
	if err != nil {
		t.Fatal(err)
	}
	return Config{CertificateFile: i.CertificateFile, KeyFile: i.KeyFile, AuthorityFile: filepath.Join(folder, AuthorityCertificate)}
}

func TestRotationWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	a, err := NewAuthority(folder, day)
	if err != nil {
		t.Fatal(err)
	}
	r, err := NewRing(issue(t, a, folder, "entry-1", time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	before := r.Expires()
	issue(t, a, folder, "entry-1", 2*time.Hour)
	if err := r.Reload(); err != nil {
		t.Fatal(err)
	}
	if !r.Expires().After(before) {
		t.Error("the ring still uses the old certificate")
	}
}

// An operator overwrites a running node's key file with an invalid one. The node
// must continue to use its loaded keys, or it would lose its connections.
func TestBadFilesKeepTheKeysInUse(t *testing.T) {
	folder := t.TempDir()
	a, err := NewAuthority(folder, day)
	if err != nil {
		t.Fatal(err)
	}
	c := issue(t, a, folder, "entry-1", time.Hour)
	r, err := NewRing(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(c.KeyFile, []byte("not a key"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := r.Reload(); err == nil || !strings.Contains(err.Error(), c.KeyFile) {
		t.Errorf("an invalid key file: got %v, want an error with the file's path", err)
	}
	if r.Name() != "entry-1" {
		t.Errorf("the loaded keys were lost: name %q", r.Name())
	}
}

// A node must not start with an expired certificate or one from another authority:
// every peer would refuse it, without an error at the node itself.
func TestForeignAndExpiredCertificatesAreRefused(t *testing.T) {
	ours, theirs := t.TempDir(), t.TempDir()
	if _, err := NewAuthority(ours, day); err != nil {
		t.Fatal(err)
	}
	b, err := NewAuthority(theirs, day)
	if err != nil {
		t.Fatal(err)
	}
	c := issue(t, b, theirs, "entry-1", time.Hour)
	c.AuthorityFile = filepath.Join(ours, AuthorityCertificate)
	if _, err := NewRing(c); err == nil {
		t.Error("a foreign certificate was accepted")
	}
	expired := issue(t, b, theirs, "entry-2", time.Nanosecond)
	if _, err := NewRing(expired); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Errorf("an expired certificate: got %v", err)
	}
}

func TestAuthorityIsNotReplaced(t *testing.T) {
	folder := t.TempDir()
	if _, err := NewAuthority(folder, day); err != nil {
		t.Fatal(err)
	}
	if _, err := NewAuthority(folder, day); err == nil {
		t.Error("a second authority replaced the first")
	}
	if _, err := LoadAuthority(folder); err != nil {
		t.Error(err)
	}
	a, _ := LoadAuthority(folder)
	if _, err := a.Issue(Request{Name: "../x", Role: Entry, Valid: day}, folder); err == nil {
		t.Error("a name with a path outside the folder was accepted")
	}
}
