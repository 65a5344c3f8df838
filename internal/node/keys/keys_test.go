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
		t.Error("the ring still holds the old certificate")
	}
}

// An operator copies a damaged or foreign file over a running node's key. The
// node must go on with the keys that it has, or it drops out of the fleet.
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
		t.Errorf("a damaged key gave %v; want an error that names the file", err)
	}
	if r.Name() != "entry-1" {
		t.Errorf("the keys in use are gone: %q", r.Name())
	}
}

// A certificate from another authority, or one past its date, must not start
// a node: its peers would refuse it one by one, with no error at the node.
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
		t.Errorf("an expired certificate gave %v", err)
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
		t.Error("a name that leaves the folder was accepted")
	}
}
