package node

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

// A file that cannot be used may be incomplete, or may be put in place shortly after the signal. It is read
// again until it can be used, after delays that double, for at most reloadTimeout.
const (
	reloadInitialDelay = 50 * time.Millisecond
	reloadMaxDelay     = time.Second
	reloadTimeout      = time.Minute
)

// ConfigReloader reads the configuration file of a running node again at each signal.
type ConfigReloader struct {
	Path    string           // path of the configuration file
	Signals <-chan os.Signal // receives each signal to read the file
}

// run reads the file at each signal until ctx ends, and passes on a changed address of discovery. A file that a
// node could not start with changes nothing, unless it becomes valid within reloadTimeout.
func (r ConfigReloader) run(ctx context.Context, current Config, changeAddr func(addr string), log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		next, loaded := r.loadWithRetry(ctx, log)
		if !loaded {
			continue
		}
		for setting, unchanged := range map[string]bool{
			"name":     next.Name == current.Name,
			"listen":   next.Listen == current.Listen,
			"limits":   next.MemoryMB == current.MemoryMB && next.Sockets == current.Sockets,
			"settings": reflect.DeepEqual(next.Settings, current.Settings),
		} {
			if !unchanged {
				log.Warn("reload: a change that needs a restart is ignored", "what", setting)
			}
		}
		log.Info("reloaded", "discovery", next.Discovery)
		if next.Discovery != current.Discovery {
			current.Discovery = next.Discovery
			changeAddr(next.Discovery)
		}
	}
}

// loadWithRetry reads the file until it can be used, and returns false if that takes too long. A further signal
// makes it read the file at once and restarts its time.
func (r ConfigReloader) loadWithRetry(ctx context.Context, log *slog.Logger) (next Config, loaded bool) {
	delays := backoff{initialDelay: reloadInitialDelay, maxDelay: reloadMaxDelay}
	for deadline := time.Now().Add(reloadTimeout); ; {
		next, err := LoadConfig(r.Path)
		if err == nil {
			return next, true
		}
		if delays.lastDelay == 0 {
			log.Error("reload failed, the configuration is unchanged", "err", err)
		}
		if time.Now().After(deadline) {
			log.Error("reload abandoned, the file cannot be used", "err", err)
			return Config{}, false
		}
		select {
		case <-ctx.Done():
			return Config{}, false
		case <-r.Signals:
			delays.reset()
			deadline = time.Now().Add(reloadTimeout)
		case <-time.After(delays.next()):
		}
	}
}
