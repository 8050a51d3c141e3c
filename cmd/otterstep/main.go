// Command otterstep is one load-balancing node. Its configuration is the file
// that PROXY_CONFIG names; SIGHUP makes it read that file again, SIGTERM and SIGINT
// make it drain and exit with 0. OTTERSTEP_LOG_LEVEL names the least level that is logged.
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

func run(ctx context.Context) error {
	// From the first moment on, as an uncaught SIGHUP ends the process. One signal
	// that waits stands for all: the file is read after it.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("configuration: PROXY_CONFIG names no file")
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

// logLevel reads the least level that is logged: debug, info (where none is named), warn or error.
func logLevel(name string) (level slog.Level, err error) {
	if name == "" {
		return slog.LevelInfo, nil
	}
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, fmt.Errorf("OTTERSTEP_LOG_LEVEL: %w", err)
	}
	return level, nil
}
