package backend

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/cache/events"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
)

type handler struct {
	config HandlerConfig
}

// NewHandler returns the handler of POST /fleet/announcements and POST /fleet/cache-events.
func NewHandler(c HandlerConfig) (http.Handler, error) {
	if c.Table == nil || c.LeaveNotifier == nil || c.CacheReports == nil || c.KeyDigests == nil || c.Now == nil {
		return nil, fmt.Errorf("backend: the configuration of the handler is incomplete")
	}
	h := &handler{config: c}
	m := http.NewServeMux()
	m.HandleFunc("POST /fleet/announcements", h.requireKey(h.announce))
	m.HandleFunc("POST /fleet/cache-events", h.requireKey(h.cacheEvents))
	return m, nil
}

// requireKey calls next only for requests with a valid key.
func (h *handler) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.hasKnownKey(r.Header.Get("Authorization")) {
			h.refuse(w, r, http.StatusUnauthorized, "unknown-key", "the request needs the header Authorization with a known key")
			return
		}
		next(w, r)
	}
}

// hasKnownKey compares the key with every digest, also after a match, so that the response time reveals nothing about the keys.
func (h *handler) hasKnownKey(header string) bool {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return false
	}
	digest := sha256.Sum256([]byte(key))
	found := 0
	for _, d := range h.config.KeyDigests() {
		found |= subtle.ConstantTimeCompare(digest[:], d[:])
	}
	return found == 1
}

// AnnouncementAnswer is the response body for an announcement.
type AnnouncementAnswer struct {
	// Outcome is the result of the merge into the membership table.
	Outcome membership.Outcome `json:"outcome"`
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	now := h.config.Now()
	a, err := decodeBody[announcement.Announcement](w, r, MaxAnnouncement)
	if err != nil {
		h.refuseBody(w, r, err)
		return
	}
	m := h.config.Table.Announce(now, a)
	if m.Outcome == membership.Refused {
		status, ok := mergeStatus[m.Cause]
		if !ok {
			status = http.StatusBadRequest
		}
		h.refuse(w, r, status, string(m.Cause), m.Detail)
		return
	}
	if m.Leaving {
		h.config.LeaveNotifier.PushLeaving(a.Identity)
	}
	h.logMerge(a, m)
	writeJSON(w, http.StatusOK, AnnouncementAnswer{Outcome: m.Outcome})
}

var mergeStatus = map[membership.Cause]int{
	membership.BadField:         http.StatusBadRequest,
	membership.IdentityConflict: http.StatusConflict,
	membership.AddressConflict:  http.StatusConflict,
	membership.TooManyServers:   http.StatusInsufficientStorage,
}

// logMerge logs when a server is new, changed or leaving, not on every announcement.
func (h *handler) logMerge(a announcement.Announcement, m membership.MergeResult) {
	if !m.Changed && !m.Leaving {
		return
	}
	e := event.ServerChanged
	if m.Leaving {
		e = event.ServerLeaving
	}
	e.Write(h.config.Log, log.Fields{
		"server":      a.Identity,
		"incarnation": a.Incarnation,
		"address":     a.Address,
		"zone":        a.Zone,
		"kind":        a.Kind,
		"cause":       m.Cause,
	})
}

// CacheEventsAnswer is the response body for cache events.
type CacheEventsAnswer struct {
	// ListingWanted requests a full listing from the engine.
	ListingWanted bool `json:"listing-wanted"`
}

func (h *handler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	now := h.config.Now()
	report, err := decodeBody[events.Report](w, r, events.MaxBody)
	if err != nil {
		h.refuseBody(w, r, err)
		return
	}
	if err := report.Check(); err != nil {
		h.refuse(w, r, http.StatusBadRequest, "bad-field", err.Error())
		return
	}
	wanted := h.config.CacheReports.Report(now, report)
	if wanted {
		event.ListingWanted.Write(h.config.Log, log.Fields{"engine": report.Identity, "first": report.First})
	}
	writeJSON(w, http.StatusOK, CacheEventsAnswer{ListingWanted: wanted})
}
