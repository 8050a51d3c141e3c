// Command otterstep runs one load-balancing node. The environment variable PROXY_CONFIG names its
// configuration file. On SIGHUP the node reads that file again; on SIGTERM or SIGINT it drains and exits
// with code 0. OTTERSTEP_LOG_LEVEL sets the lowest level that is logged.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"otterstep/internal/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "otterstep:", err)
		os.Exit(1)
	}
}

// run runs a node with the configuration that the environment names. It returns nil once ctx is cancelled
// and the node has drained, or the error that kept the node from running.
func run(ctx context.Context) error {
	// SIGHUP is caught before anything else, because an uncaught SIGHUP ends the process. A buffer of one
	// signal is enough: the file is read after the signal is received, so one reload covers all signals
	// that arrived before it.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("configuration: PROXY_CONFIG is empty or not set")
	}
	config, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	level, err := logLevel(os.Getenv("OTTERSTEP_LOG_LEVEL"))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	return node.Run(ctx, config, node.ConfigReloader{Path: path, Signals: reloadSignals}, log)
}

// logLevel returns the level with the given name: debug, info, warn or error. An empty name means info.
func logLevel(name string) (level slog.Level, err error) {
	if name == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, fmt.Errorf("OTTERSTEP_LOG_LEVEL: %w", err)
	}
	return level, nil
}
