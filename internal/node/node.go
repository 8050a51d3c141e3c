// Package node runs a load-balancing node on real sockets. It passes what happens on them to the Balancer of
// package policy and carries out the Balancer's decisions.
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

	"otterstep/internal/budget"
	"otterstep/policy"
)

const (
	// reservedSockets is the number of file descriptors that are not connections to clients or servers: standard
	// streams, listener, poller, discovery.
	reservedSockets = 24
	// minSockets is the smallest number of file descriptors with which a node starts.
	minSockets = 64

	// After the signal to stop, a node is not killed before the longest deadline plus killMargin has passed, where
	// a deadline over maxKillDeadline counts as maxKillDeadline. Clients continue to use the connections that stay
	// open, and have no other node if the fleet has only one. So the node serves until shortly before the kill: its last
	// answers are due finalAnswerMargin before the kill, and it closes idle connections connectionCloseMargin
	// before the kill. During closeAfterAnswerTime before that, connections close only after an answer. The node
	// may notice the signal up to maxSignalDelay late, and counts the time to the kill from then on.
	maxSignalDelay        = 150 * time.Millisecond
	killMargin            = 700 * time.Millisecond
	maxKillDeadline       = 3 * time.Second
	shutdownAcceptTime    = 450 * time.Millisecond // shortest time of accepting after the signal; clients connect for up to 0.4 s
	finalAnswerMargin     = 100*time.Millisecond + maxSignalDelay
	connectionCloseMargin = 220*time.Millisecond + maxSignalDelay
	closeAfterAnswerTime  = 100 * time.Millisecond
	idleCloseTime         = 20 * time.Millisecond // time for idle connections to close after they were evicted

	readTimeout       = 2 * time.Second  // limit on reading the head and body of a request
	answerWriteMargin = 12 * time.Second // time to write an answer, beyond the longest deadline
	idleTimeout       = 30 * time.Second // limit on an idle connection; some clients send one request and never close
	maxHeaderBytes    = 16 << 10

	// longListServers is the number of known servers above which the node returns memory to the system after the
	// start. Reading the servers takes several times the memory that is kept.
	longListServers = 5000
)

// Run serves requests until ctx ends. It then drains: it accepts connections for a while, answers all requests that
// it has read and returns nil. At a signal of the reloader it applies the settings that can change while it runs.
func Run(ctx context.Context, config Config, reloader ConfigReloader, log *slog.Logger) error {
	if memory := planMemory(config.MemoryMB, config.Sockets); memory.runtimeBytes > 0 {
		debug.SetMemoryLimit(memory.runtimeBytes)
	}
	listener, err := listenWithRetry(ctx, config.Listen, log)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return serve(ctx, config, listener, reloader, log)
}

// longestDeadline returns the longest deadline of the classes.
func longestDeadline(classes []policy.Class) (deadline time.Duration) {
	for _, class := range classes {
		deadline = max(deadline, class.Deadline)
	}
	return deadline
}

// timeUntilKill returns the shortest time between the signal to stop and the kill.
func timeUntilKill(classes []policy.Class) time.Duration {
	return min(longestDeadline(classes), maxKillDeadline) + killMargin
}

// answerWriteTimeout returns the time from the end of a request's head by which its answer must be written.
func answerWriteTimeout(classes []policy.Class) time.Duration {
	return longestDeadline(classes) + answerWriteMargin
}

// newClientServer returns the server that has a front answer clients. Each answer must be written within writeTimeout of the
// end of its request's head.
func newClientServer(front *front, clients *clientConns, writeTimeout time.Duration, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: front, ConnState: clients.onConnState, ConnContext: clients.connContext,
		ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		// Without it, net/http would answer "OPTIONS *" with a 200 by itself, as if a server had run the request.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// serve runs a node on a listener until ctx ends and the node has drained. See Run.
func serve(ctx context.Context, config Config, listener net.Listener, reloader ConfigReloader, log *slog.Logger) error {
	defer listener.Close()
	clock := newClock()
	settings := config.Settings.Policy
	settings.ConfirmCachedList, settings.LongPolling = true, true
	// A request in flight takes one file descriptor for its client and one for its server, and a hedged attempt takes
	// another one for a server. Clients also have idle connections, and some that never send anything. So servers
	// get slightly less than half.
	servers := (config.Sockets - reservedSockets) * 9 / 20
	memory := planMemory(config.MemoryMB, config.Sockets-reservedSockets-servers)
	clients := newClientConns(memory.maxClients, budget.New(memory.messageBytes))
	upstream := newUpstream(config.Settings.ConnIdleTimeout, config.Settings.ConnectTimeout, servers)
	discovery := newDiscoveryClient(config.Discovery, config.Settings, clock, log)
	loop, err := newLoop(settings, config.Seed, clock, upstream, discovery.commands)
	if err != nil {
		return err
	}
	loop.requestLog = newRequestLog(log)
	loop.recentIDs.generationSize = memory.recentIDs
	discovery.callLog.partialListEntries = &loop.metrics.partialListEntries
	loop.balancer.Observe(decisionLog{log, loop})
	upstream.log, clients.log = log, log
	var ready atomic.Bool
	loop.onReady = func() {
		ready.Store(true)
		log.Info("ready", "node", config.Name, "listen", listener.Addr().String())
	}
	discovery.attachTo(loop)

	known := config.KnownList
	config.KnownList = listMessage{} // the list may be long, and is not needed after it has been passed on
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

	front := newFront(loop, config.Settings, clients, ready.Load)
	server := newClientServer(front, clients, answerWriteTimeout(settings.Classes), log)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(clients.listener(listener)) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}

	log.Info("draining")
	if err := drain(background, server, front, clients, loop, settings.Classes); err != nil {
		return err
	}
	server.Close()
	log.Info("stopped", "drain_violations", loop.metrics.drainViolations.Load())
	return nil
}

// drain goes on serving for as long as the time until the kill allows, has all requests answered that were read, and shuts the
// server down.
func drain(ctx context.Context, server *http.Server, front *front, clients *clientConns, loop *loop, classes []policy.Class) error {
	killAt := time.Now().Add(timeUntilKill(classes))
	loop.post(func() { loop.setShutdownDeadline(loop.now + time.Until(killAt) - finalAnswerMargin) })
	signalledAt := time.Now()
	for time.Until(killAt) > connectionCloseMargin+closeAfterAnswerTime &&
		(time.Since(signalledAt) < shutdownAcceptTime || !clients.isEmpty()) {
		time.Sleep(idleCloseTime)
	}
	front.draining.Store(true)
	if !clients.isEmpty() {
		time.Sleep(closeAfterAnswerTime)
	}
	clients.evictAllWaiting()
	time.Sleep(idleCloseTime)
	shutdownCtx, cancelShutdown := context.WithDeadline(ctx, killAt)
	defer cancelShutdown()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
