package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"sync/atomic"

	"hornbeamwood/internal/settings/rules"
)

// keyIndex maps key digests to workspaces for one snapshot.
type keyIndex struct {
	snapshot *rules.Snapshot
	owners   map[[sha256.Size]byte]string
}

// keyIndexCache holds the index of the latest snapshot.
type keyIndexCache struct {
	current atomic.Pointer[keyIndex]
}

func (c *keyIndexCache) of(s *rules.Snapshot) *keyIndex {
	if i := c.current.Load(); i != nil && i.snapshot == s {
		return i
	}
	i := newKeyIndex(s)
	c.current.Store(i)
	return i
}

// newKeyIndex returns the index of s. A key that two workspaces share is valid
// for neither: choosing one of them could give access to the data of the other.
func newKeyIndex(s *rules.Snapshot) *keyIndex {
	i := &keyIndex{snapshot: s, owners: map[[sha256.Size]byte]string{}}
	shared := map[[sha256.Size]byte]bool{}
	for n, w := range s.Workspaces {
		for _, d := range w.KeyDigests {
			if owner, ok := i.owners[d]; ok && owner != n {
				shared[d] = true
			}
			i.owners[d] = n
		}
	}
	for d := range shared {
		delete(i.owners, d)
	}
	return i
}

// workspace returns the workspace whose key is given.
//
// Only digests are looked up and compared, and the comparison takes constant
// time, so that the timing reveals nothing about a key.
func (i *keyIndex) workspace(key string) (rules.Workspace, bool) {
	digest := sha256.Sum256([]byte(key))
	name, ok := i.owners[digest]
	if !ok {
		return rules.Workspace{}, false
	}
	w := i.snapshot.Workspaces[name]
	equal := 0
	for _, d := range w.KeyDigests {
		equal |= subtle.ConstantTimeCompare(d[:], digest[:])
	}
	w.Name = name
	return w, equal == 1
}

// bearer returns the bearer token of the Authorization header.
func bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	key = strings.TrimSpace(key)
	return key, key != "" && len(key) <= maxKeyBytes
}
