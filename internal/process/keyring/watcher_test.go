package keyring

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"hornbeamwood/internal/node/keys"
)

// An operator renews a node's keys while it runs, and the watcher checks between the
// writes of the two files. The node must neither stop nor keep the old keys until they
// expire.
func TestRenewedKeysAreLoadedAsAPair(t *testing.T) {
	folder := t.TempDir()
	a, err := keys.NewAuthority(folder, 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	request := keys.Request{Name: "entry-1", Role: keys.Entry, Valid: time.Hour}
	i, err := a.Issue(request, folder)
	if err != nil {
		t.Fatal(err)
	}
	files := keys.Config{CertificateFile: i.CertificateFile, KeyFile: i.KeyFile, AuthorityFile: filepath.Join(folder, keys.AuthorityCertificate)}
	r, err := keys.NewRing(files)
	if err != nil {
		t.Fatal(err)
	}
	w := &watcher{Config: Config{Ring: r, Files: files}}
	w.loaded = w.modTimes()
	first := r.Expires()

	old, err := os.ReadFile(i.CertificateFile)
	if err != nil {
		t.Fatal(err)
	}
	request.Valid = 2 * time.Hour
	if _, err := a.Issue(request, folder); err != nil {
		t.Fatal(err)
	}
	renewed, err := os.ReadFile(i.CertificateFile)
	if err != nil {
		t.Fatal(err)
	}
	write(t, i.CertificateFile, old, 1)
	w.check()
	if !r.Expires().Equal(first) {
		t.Fatal("a certificate was loaded with the key of another")
	}
	write(t, i.CertificateFile, renewed, 2)
	w.check()
	if !r.Expires().After(first) {
		t.Error("the renewed keys were not loaded")
	}
}

// write replaces a file and sets a distinct modification time, independent of the clock's resolution.
func write(t *testing.T, path string, b []byte, hours int) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	at := time.Now().Add(time.Duration(hours) * time.Hour)
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
}
