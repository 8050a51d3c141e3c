// Package node is the real node: it drives the decision module of package policy
// with what happens on sockets, and decides nothing itself.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

const (
	// The descriptors that are neither clients' nor servers' connections:
	// standard streams, listener, poller, discovery.
	reservedSockets = 24
	minSockets      = 64

	// A node that was told to end is killed no sooner than drainGrace and the longest
	// deadline later, a deadline over drainLongest counting as that. Clients go on using
	// what connections stay open, and on a tier of one can go nowhere else, so it serves
	// until shortly before: answers are due drainSpare ahead of that, connections end from
	// drainLeave ahead of it on, those behind an answer before those that must be closed
	// while idle. It may be held up between the signal and its clock, which counts from then on.
	maxSignalDelay        = 150 * time.Millisecond
	killMargin            = 700 * time.Millisecond
	maxKillDeadline       = 3 * time.Second
	shutdownAcceptTime    = 450 * time.Millisecond // clients connect for up to 0.4 s
	finalAnswerMargin     = 100*time.Millisecond + maxSignalDelay
	connectionCloseMargin = 220*time.Millisecond + maxSignalDelay
	closeAfterAnswerTime  = 100 * time.Millisecond
	idleCloseTime         = 20 * time.Millisecond // for idle connections to end by themselves

	readTimeout       = 2 * time.Second  // a client may take so long over a head and body together
	answerWriteMargin = 12 * time.Second // to write an answer, beyond the longest deadline
	idleTimeout       = 30 * time.Second // some ask once and never close
	maxHeaderBytes    = 16 << 10

	// longList is the number of known servers above which the memory that it took to read
	// them is given back after the start, several times what is kept of them.
	longListServers = 5000
)

// Run serves until ctx ends, then drains: it goes on accepting for a while,
// answers all that it took and returns nil. A signal of reloads makes it take over
// what can change while it runs.
func Run(ctx context.Context, config Config, reloader ConfigReloader, log *slog.Logger) error {
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMB) << 20 * 3 / 4)
	}
	listener, err := listenWithRetry(ctx, config.Listen, log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, config, listener, reloader, log)
}

// longest is the longest deadline.
func longestDeadline(classes []policy.Class) (deadline time.Duration) {
	for _, class := range classes {
		deadline = max(deadline, class.Deadline)
	}
	return deadline
}

// drainTime is how long a node that was told to end lives at least.
func timeUntilKill(classes []policy.Class) time.Duration {
	return min(longestDeadline(classes), maxKillDeadline) + killMargin
}

// writeLimit is when an answer is written at the latest, from the request's head on.
func answerWriteTimeout(classes []policy.Class) time.Duration {
	return longestDeadline(classes) + answerWriteMargin
}

func serve(ctx context.Context, config Config, listener net.Listener, reloader ConfigReloader, log *slog.Logger) error {
	defer listener.Close()
	clock := newClock()
	settings := config.Site.Policy
	settings.ConfirmCachedList, settings.LongPolling = true, true
	// A request in work takes a descriptor at each side and a second copy one more at
	// the servers'; clients also have idle connections, and some that say nothing.
	servers := (config.Sockets - reservedSockets) * 9 / 20
	clients := newClientConns(config.Sockets - reservedSockets - servers)
	upstream := newUpstream(config.Site.ConnIdleTimeout, config.Site.ConnectTimeout, servers)
	discovery := newDiscoveryClient(config.Discovery, config.Site, clock, log)
	loop, err := newLoop(settings, config.Seed, clock, upstream, discovery.commands)
	if err != nil {
		return err
	}
	loop.requestLog = newRequestLog(log)
	discovery.callLog.partialListLines = &loop.metrics.partialListLines
	loop.balancer.Observe(decisionLog{log, loop})
	upstream.log, clients.log = log, log
	var ready atomic.Bool
	loop.onReady = func() {
		ready.Store(true)
		log.Info("ready", "node", config.Name, "listen", listener.Addr().String())
	}
	discovery.attachTo(loop)

	known := config.KnownList
	config.KnownList = listMessage{} // it may be long, and is of no use once it is handed on
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go loop.run(background)
	go func() {
		isLong := len(known.Entries) > longListServers
		discovery.start(known, settings.ListOnRequest)
		known = listMessage{}
		if isLong {
			debug.FreeOSMemory()
		}
		discovery.run(background)
	}()
	go reloader.run(background, config, func(addr string) { discovery.requestAddrChange(background, addr) }, log)
	go func() {
		for ticks := time.Tick(time.Second); background.Err() == nil; <-ticks {
			upstream.closeStale()
		}
	}()

	go clients.evictPeriodically(background)

	bodyBudgetBytes := int64(64 << 20)
	if config.MemoryMB > 0 {
		bodyBudgetBytes = int64(config.MemoryMB) << 20 / 8
	}
	front := newFront(loop, config.Site, clients, bodyBudgetBytes, ready.Load)
	server := http.Server{
		Handler: front, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		WriteTimeout: answerWriteTimeout(settings.Classes), IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: clients.onConnState, ConnContext: clients.connContext,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(clients.listener(listener)) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}

	log.Info("draining")
	killAt := time.Now().Add(timeUntilKill(settings.Classes))
	loop.post(func() { loop.setShutdownDeadline(loop.now + time.Until(killAt) - finalAnswerMargin) })
	signalledAt := time.Now()
	for time.Until(killAt) > connectionCloseMargin+closeAfterAnswerTime && (time.Since(signalledAt) < shutdownAcceptTime || !clients.isEmpty()) {
		time.Sleep(idleCloseTime)
	}
	front.draining.Store(true)
	if !clients.isEmpty() {
		time.Sleep(closeAfterAnswerTime)
	}
	clients.evictAllWaiting()
	time.Sleep(idleCloseTime)
	shutdownCtx, cancelShutdown := context.WithDeadline(background, killAt)
	defer cancelShutdown()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	server.Close()
	log.Info("stopped", "drain_violations", loop.metrics.drainViolations.Load())
	return nil
}
