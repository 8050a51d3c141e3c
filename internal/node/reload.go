package node

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"
)

// A file that can't be used may be half written still, or be put in place a moment after the
// signal: it is read again until it can, after pauses that double, for reloadFor at most.
const (
	reloadInitialDelay = 50 * time.Millisecond
	reloadMaxDelay     = time.Second
	reloadTimeout      = time.Minute
)

// Reloads says where a running node finds a new configuration, and when.
type ConfigReloader struct {
	Path    string
	Signals <-chan os.Signal
}

// follow reads the file at each signal and hands discovery's address on. A file
// that would not do at a start changes nothing, unless it does soon after.
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
			"settings": reflect.DeepEqual(next.Site, current.Site),
		} {
			if !unchanged {
				log.Warn("reload: a change that takes a restart is left out", "what", setting)
			}
		}
		log.Info("reloaded", "discovery", next.Discovery)
		if next.Discovery != current.Discovery {
			current.Discovery = next.Discovery
			changeAddr(next.Discovery)
		}
	}
}

// load reads the file until it can be used; false where that takes too long. A further signal makes
// it read anew at once.
func (r ConfigReloader) loadWithRetry(ctx context.Context, log *slog.Logger) (next Config, loaded bool) {
	delays := backoff{initialDelay: reloadInitialDelay, maxDelay: reloadMaxDelay}
	for deadline := time.Now().Add(reloadTimeout); ; {
		next, err := LoadConfig(r.Path)
		if err == nil {
			return next, true
		}
		if delays.lastDelay == 0 {
			log.Error("reload failed, the configuration stays", "err", err)
		}
		if time.Now().After(deadline) {
			log.Error("reload given up", "err", err)
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
