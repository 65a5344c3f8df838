package directory

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Guards against announcements that name no server to use and cost other servers their requests or entries their rows.
func TestOddAnnouncementsAreRejected(t *testing.T) {
	now := time.UnixMilli(1770000000000)
	sound := func() Server {
		return Server{ID: "i-1", StartedAt: now.UnixMilli(), Sequence: 4, Service: "s", Address: "10.1.2.3:80", Zone: "z", Software: "v1", Slots: 6, Models: []Weights{{Model: "m", Version: 2}}}
	}
	if err := sound().Check(now); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Server){
		"ID that isn't UTF-8":       func(s *Server) { s.ID = "a\xffb" },
		"ID with a line break":      func(s *Server) { s.ID = "a\nb" },
		"ID of 60 KB":               func(s *Server) { s.ID = strings.Repeat("x", 60<<10) },
		"service of 900 KB":         func(s *Server) { s.Service = strings.Repeat("x", 900<<10) },
		"broken service":            func(s *Server) { s.Service = "a\ufffd" },
		"no zone":                   func(s *Server) { s.Zone = "" },
		"software with a NUL":       func(s *Server) { s.Software = "\x00" },
		"port 0":                    func(s *Server) { s.Address = "10.1.2.3:0" },
		"port out of range":         func(s *Server) { s.Address = "10.1.2.3:70000" },
		"unspecified address":       func(s *Server) { s.Address = "0.0.0.0:80" },
		"start in the far future":   func(s *Server) { s.StartedAt = math.MaxInt64 },
		"largest sequence":          func(s *Server) { s.Sequence = math.MaxInt64 },
		"no slots":                  func(s *Server) { s.Slots = 0 },
		"largest number of slots":   func(s *Server) { s.Slots = math.MaxInt64 },
		"slow for ever":             func(s *Server) { s.WarmUp = math.MaxInt64 },
		"20,000 models":             func(s *Server) { s.Models = make([]Weights, 20000) },
		"model without a name":      func(s *Server) { s.Models[0].Model = "" },
		"largest version of models": func(s *Server) { s.Models[0].Version = math.MaxInt64 },
	} {
		s := sound()
		change(&s)
		if s.Check(now) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
