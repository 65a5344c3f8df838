package process

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/standin/backend"
	"hornbeamwood/internal/standin/engine"
	"hornbeamwood/internal/standin/service"
	"hornbeamwood/internal/standin/store"
	"hornbeamwood/internal/standin/weights"
)

// crashExitCode is the exit code of a stand-in that a request has crashed.
const crashExitCode = 70

var builders = map[Kind]func(f File, address string) server{
	Engine:  buildEngine,
	Service: buildService,
	Store:   buildStore,
	Weights: buildWeights,
}

func buildEngine(f File, address string) server {
	c := engine.Config{
		Identity:      f.Identity,
		Zone:          f.Zone,
		Address:       address,
		Models:        f.Engine.Models,
		WeightVersion: f.Engine.WeightVersion,
		Role:          f.Engine.Role,
		PrefillRate:   f.Engine.PrefillRate,
		DecodeRate:    f.Engine.DecodeRate,
		MaxRunning:    f.Engine.MaxRunning,
		CachePieces:   f.Engine.CachePieces,
		PieceBytes:    f.Engine.PieceBytes,
		ChecksFencing: f.Engine.ChecksFencing,
		WeightStore:   f.Engine.WeightStore,
		ReportLag:     time.Duration(f.Engine.ReportLag),
		EventLag:      time.Duration(f.Engine.EventLag),
		EventLoss:     f.Engine.EventLoss,
		Seed:          f.Engine.Seed,
		Started:       time.Now(),
	}
	if f.Engine.Crashes {
		c.Crash = func() { os.Exit(crashExitCode) }
	}
	e := engine.New(c)
	return server{
		handler:      e,
		announcement: e.Announcement,
		background:   func(ctx context.Context, a backend.Announcer) { e.SendEvents(ctx, a) },
		leave:        e.Leave,
		running:      e.Running,
	}
}

// plainAnnouncement is the announcement of servers without models.
type plainAnnouncement struct {
	Identity    string    `json:"identity"`
	Incarnation int64     `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	Zone        string    `json:"zone"`
	Address     string    `json:"address"`
	Kind        string    `json:"kind"`
	State       string    `json:"state"`
	Services    []string  `json:"services,omitempty"`
	Uptime      int64     `json:"uptime-millis"`
	Load        plainLoad `json:"load"`
}

type plainLoad struct {
	Sequence    uint64  `json:"sequence"`
	Running     int     `json:"running"`
	MaxRunning  int     `json:"max-running"`
	CachePieces int64   `json:"cache-pieces"`
	FreePieces  int64   `json:"free-pieces"`
	LinkRate    float64 `json:"link-rate,omitempty"`
	LinkQueued  int64   `json:"link-queued,omitempty"`
}

// maxConcurrentCalls is the maximum number of concurrent calls that a service announces.
const maxConcurrentCalls = 64

// nominalPieceBytes is the piece size by which a store converts its capacity to pieces.
const nominalPieceBytes = 64 << 10

func newPlainAnnouncement(f File, address string, k Kind, started time.Time, leaving *atomic.Bool) plainAnnouncement {
	p := plainAnnouncement{
		Identity:    f.Identity,
		Incarnation: started.UnixNano(),
		Zone:        f.Zone,
		Address:     address,
		Kind:        string(k),
		State:       "ready",
		Uptime:      time.Since(started).Milliseconds(),
	}
	if leaving.Load() {
		p.State = "leaving"
	}
	return p
}

func buildService(f File, address string) server {
	c := service.Config{Name: f.Identity, Delay: time.Duration(f.Service.Delay)}
	if f.Service.Crashes {
		c.Crash = func() { os.Exit(crashExitCode) }
	}
	s := service.New(c)
	started, leaving := time.Now(), &atomic.Bool{}
	return server{
		handler: s,
		announcement: func(sequence uint64) any {
			p := newPlainAnnouncement(f, address, Service, started, leaving)
			p.Sequence = sequence
			p.Services = f.Service.Names
			p.Load = plainLoad{Sequence: sequence, Running: s.Running(), MaxRunning: maxConcurrentCalls}
			return p
		},
		leave:   func() { leaving.Store(true) },
		running: s.Running,
	}
}

func buildStore(f File, address string) server {
	started, leaving := time.Now(), &atomic.Bool{}
	s := store.New(store.Config{
		MemoryBytes: f.Store.MemoryBytes,
		DiskBytes:   f.Store.DiskBytes,
		LinkRate:    f.Store.LinkRate,
		Started:     started,
	})
	return server{
		handler: s,
		announcement: func(sequence uint64) any {
			p := newPlainAnnouncement(f, address, Store, started, leaving)
			p.Sequence = sequence
			queued, free := s.Load()
			p.Load = plainLoad{
				Sequence:    sequence,
				CachePieces: (f.Store.MemoryBytes + f.Store.DiskBytes) / nominalPieceBytes,
				FreePieces:  free / nominalPieceBytes,
				LinkRate:    f.Store.LinkRate,
				LinkQueued:  queued,
			}
			return p
		},
		leave:   func() { leaving.Store(true) },
		running: func() int { return 0 },
	}
}

func buildWeights(f File, _ string) server {
	return server{handler: weights.New(weights.Config{
		LoadTime:       time.Duration(f.Weights.LoadTime),
		FullSpeedLoads: f.Weights.FullSpeedLoads,
		Versions:       f.Weights.Versions,
	})}
}
