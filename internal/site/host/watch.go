package host

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// reloadInterval is how often the settings are read without a signal. The file is
// small, and the interval is well within the seconds that a change may take.
const reloadInterval = 2 * time.Second

// Load reads the process's settings from where it got them at its start.
type Load func() (Host, error)

// Watch calls changed with each new Host until ctx ends. Settings are reloaded on SIGHUP and at an interval.
//
// When settings can't be read, the earlier ones stay in effect: a partially written file
// would otherwise remove a running process from the site.
func Watch(ctx context.Context, current Host, load Load, changed func(Host), logger log.Interface) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
		}
		h, err := load()
		if err != nil {
			event.SettingsReloaded.Write(logger, log.Fields{"error": err.Error()})
			continue
		}
		if reflect.DeepEqual(h, current) {
			continue
		}
		current = h
		event.SettingsReloaded.Write(logger, log.Fields{"seeds": h.Seeds})
		changed(h)
	}
}
