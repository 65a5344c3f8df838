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

// lookInterval is how often the settings are read without a signal: a small
// file, well within the seconds that a change may take.
const lookInterval = 2 * time.Second

// Load reads the settings that a process was started with.
type Load func() (Host, error)

// Watch calls changed with each new Host until ctx ends; the settings may change with SIGHUP or without.
//
// Settings that can't be read leave the earlier ones in place: half a file
// would take a running process off the site.
func Watch(ctx context.Context, present Host, load Load, changed func(Host), logger log.Interface) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(lookInterval)
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
		if reflect.DeepEqual(h, present) {
			continue
		}
		present = h
		event.SettingsReloaded.Write(logger, log.Fields{"seeds": h.Seeds})
		changed(h)
	}
}
