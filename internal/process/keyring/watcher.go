package keyring

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/node/keys"
)

const (
	// checkInterval is how often the files are looked at.
	checkInterval = 5 * time.Second
	// warnBefore is how long before the expiry warnings begin.
	warnBefore = 14 * 24 * time.Hour
	// warnInterval is the time between warnings.
	warnInterval = 24 * time.Hour
)

// Config is what Watch needs.
type Config struct {
	// Ring holds the keys.
	Ring keys.Ring
	// Files are the files that the ring was read from.
	Files keys.Config
	// Logger takes the events.
	Logger log.Interface
}

type watcher struct {
	Config
	stamp  [3]time.Time
	warned time.Time
}

// Watch reloads changed keys until ctx ends.
func Watch(ctx context.Context, c Config) {
	w := &watcher{Config: c}
	w.stamp = w.stamps()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		w.warn(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.check()
		}
	}
}

// check reloads when a file has changed. The certificate and its key are two
// files; between the two writes they do not match, and the next check finds
// the pair whole because a failed load leaves the stamp as it was.
func (w *watcher) check() {
	s := w.stamps()
	if s == w.stamp {
		return
	}
	if err := w.Ring.Reload(); err != nil {
		event.KeysNotReloaded.Write(w.Logger, log.Fields{"error": err.Error()})
		return
	}
	w.stamp = s
	event.KeysReloaded.Write(w.Logger, log.Fields{"expires": w.Ring.Expires().Format(time.RFC3339)})
}

func (w *watcher) stamps() [3]time.Time {
	var s [3]time.Time
	for i, f := range []string{w.Files.CertificateFile, w.Files.KeyFile, w.Files.AuthorityFile} {
		if n, err := os.Stat(f); err == nil {
			s[i] = n.ModTime()
		}
	}
	return s
}

func (w *watcher) warn(now time.Time) {
	if w.Ring.Expires().Sub(now) > warnBefore || now.Sub(w.warned) < warnInterval {
		return
	}
	w.warned = now
	event.KeysExpireSoon.Write(w.Logger, log.Fields{"expires": w.Ring.Expires().Format(time.RFC3339)})
}
