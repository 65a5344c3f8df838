package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"hornbeamwood/internal/standin/backend"
)

// Names of the tiers in the store protocol.
const (
	Memory = "memory"
	Disk   = "disk"
)

// maxPieceBytes is the size of the largest piece.
const maxPieceBytes = 64 << 20

// maxListingEntries is the length of the longest listing.
const maxListingEntries = 1000

// Store serves the store protocol.
type Store interface {
	http.Handler
	// Load returns the bytes queued for the link and the free bytes of both tiers.
	Load() (queued, free int64)
}

type store struct {
	mux    *http.ServeMux
	config Config
	link   *link

	mu         sync.Mutex
	pieces     map[string]piece
	free       map[string]int64
	generation uint64
}

// New returns an empty Store.
func New(c Config) Store {
	s := &store{
		mux:        http.NewServeMux(),
		config:     c,
		link:       newLink(c.LinkRate),
		pieces:     make(map[string]piece),
		free:       map[string]int64{Memory: c.MemoryBytes, Disk: c.DiskBytes},
		generation: uint64(c.Started.UnixNano()),
	}
	s.mux.HandleFunc("PUT /pieces/{key}", s.put)
	s.mux.HandleFunc("GET /pieces/{key}", s.get)
	s.mux.HandleFunc("DELETE /pieces/{key}", s.remove)
	s.mux.HandleFunc("GET /pieces", s.list)
	s.mux.HandleFunc("GET /usage", s.usage)
	return s
}

// ServeHTTP implements Store.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mux.ServeHTTP(w, q)
}

// Load implements Store.
func (s *store) Load() (queued, free int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link.queued.Load(), s.free[Memory] + s.free[Disk]
}

func (s *store) put(w http.ResponseWriter, q *http.Request) {
	key, tier, n := q.PathValue("key"), q.URL.Query().Get("tier"), q.ContentLength
	if n < 0 {
		backend.WriteError(w, http.StatusLengthRequired, true, "length-required", "Content-Length is missing")
		return
	}
	if tier != Memory && tier != Disk || n > maxPieceBytes {
		backend.WriteError(w, http.StatusBadRequest, true, "bad-request", "unknown tier, or piece too large")
		return
	}
	if p, ok := s.reserve(key, tier, n); !ok {
		s.rejectWrite(w, p)
		return
	}
	var b bytes.Buffer
	if err := s.link.copy(q.Context(), &b, q.Body, n); err != nil {
		s.release(tier, n)
		backend.WriteError(w, http.StatusBadRequest, true, "cut", "the body is truncated")
		return
	}
	digest := contentDigest(b.Bytes())
	if q.Header.Get("Content-Digest") != digest {
		s.release(tier, n)
		backend.WriteError(w, http.StatusBadRequest, true, "digest", "Content-Digest does not match the bytes")
		return
	}
	p, written := s.seal(key, piece{data: b.Bytes(), digest: digest, tier: tier})
	if !written {
		s.release(tier, n)
		s.rejectWrite(w, p)
		return
	}
	w.Header().Set("ETag", etag(p.generation))
	w.WriteHeader(http.StatusCreated)
}

func (s *store) rejectWrite(w http.ResponseWriter, existing piece) {
	if existing.generation == 0 {
		backend.WriteError(w, http.StatusInsufficientStorage, true, "full", "not enough free capacity in this tier")
		return
	}
	w.Header().Set("ETag", etag(existing.generation))
	backend.WriteError(w, http.StatusPreconditionFailed, true, "present", "a sealed piece has this key")
}

// reserve reserves capacity for n bytes. It returns false if there is not enough, or if a sealed piece has the key.
func (s *store) reserve(key, tier string, n int64) (piece, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.pieces[key]; ok {
		return p, false
	}
	if s.free[tier] < n {
		return piece{}, false
	}
	s.free[tier] -= n
	return piece{}, true
}

func (s *store) release(tier string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free[tier] += n
}

func (s *store) seal(key string, p piece) (piece, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.pieces[key]; ok {
		return existing, false
	}
	s.generation++
	p.generation = s.generation
	s.pieces[key] = p
	return p, true
}

func (s *store) lookup(key string) (piece, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pieces[key]
	return p, ok
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	p, ok := s.lookup(q.PathValue("key"))
	if q.Method == http.MethodGet && !s.checkIfMatch(w, q, p, ok) {
		return
	}
	if !ok {
		backend.WriteError(w, http.StatusNotFound, true, "missing", "no sealed piece has this key")
		return
	}
	w.Header().Set("ETag", etag(p.generation))
	w.Header().Set("Content-Digest", p.digest)
	w.Header().Set("Content-Length", strconv.Itoa(len(p.data)))
	w.Header().Set("Hornbeamwood-Tier", p.tier)
	w.WriteHeader(http.StatusOK)
	if q.Method == http.MethodHead {
		return
	}
	// A reader that disconnects sees a short body; the error needs no other handling.
	_ = s.link.copy(q.Context(), w, bytes.NewReader(p.data), int64(len(p.data)))
}

// checkIfMatch writes an error response and returns false if If-Match is missing or names another generation.
func (s *store) checkIfMatch(w http.ResponseWriter, q *http.Request, p piece, found bool) bool {
	match := q.Header.Get("If-Match")
	if match == "" {
		backend.WriteError(w, http.StatusPreconditionRequired, true, "condition-required", "If-Match is missing")
		return false
	}
	if found && match != etag(p.generation) {
		backend.WriteError(w, http.StatusPreconditionFailed, true, "generation", "the piece has another generation")
		return false
	}
	return true
}

func (s *store) remove(w http.ResponseWriter, q *http.Request) {
	key := q.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pieces[key]
	if !s.checkIfMatch(w, q, p, ok) {
		return
	}
	if !ok {
		backend.WriteError(w, http.StatusNotFound, true, "missing", "no sealed piece has this key")
		return
	}
	delete(s.pieces, key)
	s.free[p.tier] += int64(len(p.data))
	w.WriteHeader(http.StatusNoContent)
}

func (s *store) list(w http.ResponseWriter, q *http.Request) {
	after := q.URL.Query().Get("after")
	limit, err := strconv.Atoi(q.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > maxListingEntries {
		limit = maxListingEntries
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := listing{Pieces: []listingEntry{}}
	for k, p := range s.pieces {
		if k > after {
			l.Pieces = append(l.Pieces, listingEntry{Key: k, Generation: p.generation, Bytes: len(p.data), Tier: p.tier})
		}
	}
	slices.SortFunc(l.Pieces, func(a, b listingEntry) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	if len(l.Pieces) > limit {
		l.Pieces = l.Pieces[:limit]
		l.Next = l.Pieces[limit-1].Key
	}
	backend.WriteJSON(w, http.StatusOK, l)
}

func (s *store) usage(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backend.WriteJSON(w, http.StatusOK, usage{
		Incarnation: s.config.Started.UnixNano(),
		Memory:      tierUsage{Bytes: s.config.MemoryBytes, FreeBytes: s.free[Memory]},
		Disk:        tierUsage{Bytes: s.config.DiskBytes, FreeBytes: s.free[Disk]},
		LinkRate:    s.config.LinkRate,
		LinkQueued:  s.link.queued.Load(),
	})
}

func etag(generation uint64) string {
	return strconv.Quote(strconv.FormatUint(generation, 10))
}

func contentDigest(b []byte) string {
	d := sha256.Sum256(b)
	return fmt.Sprintf("sha-256=:%s:", base64.StdEncoding.EncodeToString(d[:]))
}
