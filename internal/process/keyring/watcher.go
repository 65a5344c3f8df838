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
	// checkInterval is the time between two checks of the files.
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
	// Files are the files from which the ring was loaded.
	Files keys.Config
	// Logger receives the events.
	Logger log.Interface
}

type watcher struct {
	Config
	// loaded holds the modification times of the files that were loaded last.
	loaded      [3]time.Time
	lastWarning time.Time
}

// Watch reloads changed keys and warns of their expiry until ctx ends.
func Watch(ctx context.Context, c Config) {
	w := &watcher{Config: c}
	w.loaded = w.modTimes()
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

// check reloads the keys when a file has changed. The certificate and its key are two
// files, which don't match between their two writes. A failed load leaves the recorded
// times unchanged, so that the next check loads the complete pair.
func (w *watcher) check() {
	s := w.modTimes()
	if s == w.loaded {
		return
	}
	if err := w.Ring.Reload(); err != nil {
		event.KeysNotReloaded.Write(w.Logger, log.Fields{"error": err.Error()})
		return
	}
	w.loaded = s
	event.KeysReloaded.Write(w.Logger, log.Fields{"expires": w.Ring.Expires().Format(time.RFC3339)})
}

// modTimes returns the modification times of the files, zero for those that can't be read.
func (w *watcher) modTimes() [3]time.Time {
	var s [3]time.Time
	for i, f := range []string{w.Files.CertificateFile, w.Files.KeyFile, w.Files.AuthorityFile} {
		if n, err := os.Stat(f); err == nil {
			s[i] = n.ModTime()
		}
	}
	return s
}

// warn logs a warning when the keys expire soon, at most one per warnInterval.
func (w *watcher) warn(now time.Time) {
	if w.Ring.Expires().Sub(now) > warnBefore || now.Sub(w.lastWarning) < warnInterval {
		return
	}
	w.lastWarning = now
	event.KeysExpireSoon.Write(w.Logger, log.Fields{"expires": w.Ring.Expires().Format(time.RFC3339)})
}
