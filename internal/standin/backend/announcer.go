package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Paths of an entry to which backend servers post.
const (
	AnnouncementsPath = "/fleet/announcements"
	CacheEventsPath   = "/fleet/cache-events"
)

const (
	announceInterval = 500 * time.Millisecond
	postTimeout      = 2 * time.Second
	maxResponse      = 64 << 10
)

// Config holds the parameters of an Announcer.
type Config struct {
	// Entries are the base URLs of entries; the first that responds gets the announcement.
	Entries []string
	// Key is the bearer key of backend servers.
	Key string
	// Announcement returns the announcement with the given sequence number; it is encoded as JSON.
	Announcement func(sequence uint64) any
}

// Announcer announces one backend server to entries.
type Announcer interface {
	// Run announces every half second until ctx ends.
	Run(ctx context.Context)
	// Announce sends one announcement now.
	Announce(ctx context.Context) error
	// Post posts v as JSON to path at the first entry that responds and returns the body of its response.
	Post(ctx context.Context, path string, v any) ([]byte, error)
}

type announcer struct {
	config   Config
	client   *http.Client
	sequence atomic.Uint64
	// entry is the index of the entry in use, modulo the number of entries.
	entry atomic.Uint64
}

// NewAnnouncer returns an Announcer; without entries it sends nothing.
func NewAnnouncer(c Config) Announcer {
	return &announcer{config: c, client: &http.Client{Timeout: postTimeout}}
}

// Run implements Announcer.
func (a *announcer) Run(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		// A failed announcement is not an error of the server; the next interval retries it.
		_ = a.Announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Announce implements Announcer.
func (a *announcer) Announce(ctx context.Context) error {
	_, err := a.Post(ctx, AnnouncementsPath, a.config.Announcement(a.sequence.Add(1)))
	return err
}

// Post implements Announcer.
func (a *announcer) Post(ctx context.Context, path string, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	err = fmt.Errorf("no entry is configured")
	n := uint64(len(a.config.Entries))
	for range n {
		current := a.entry.Load()
		var b []byte
		b, err = a.post(ctx, a.config.Entries[current%n]+path, body)
		if err == nil {
			return b, nil
		}
		a.entry.CompareAndSwap(current, current+1)
	}
	return nil, err
}

func (a *announcer) post(ctx context.Context, url string, body []byte) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+a.config.Key)
	q.Header.Set("Content-Type", "application/json")
	r, err := a.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponse))
	if err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %d: %s", url, r.StatusCode, b)
	}
	return b, nil
}
