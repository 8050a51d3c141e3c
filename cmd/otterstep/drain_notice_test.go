package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// These tests guard against sending requests to a server of which the node knows that it drains or is gone. The node has
// to stop within the drain grace, whatever it receives next: answers of an earlier version, from the same address or
// from another one that lags, answers whose end is late, missing or replaced by a reset, or a restart with an old list.
//
// Each case forces one order of events. The change is made while a watch is open, and what follows begins once the node
// has called for changes since that version, which shows that it has accepted the change. Faults are selected by the
// number of the call, not by time.

const (
	noticeDrainGrace      = 300 * time.Millisecond // drain grace in the settings
	noticeTolerance       = 50 * time.Millisecond  // what the rules add to each limit
	noticeSchedulingSlack = 200 * time.Millisecond // allowance for a busy machine
	maxSendAfterNotice    = noticeDrainGrace + noticeTolerance + noticeSchedulingSlack

	observedAfterNotice = 5 * time.Second       // time for which a node is observed after the change, in most cases
	maxReturnDelay      = 3 * time.Second       // time within which a server that came back has to get requests
	requestPause        = 20 * time.Millisecond // pause between two requests of a client
	leavingServerCount  = 8                     // number of leaving servers: so many that a node that may send to them does so soon
	stayingServerCount  = 3                     // number of staying servers

	maxConcurrentRuns = 16 // runs in parallel

	reloadAfterChange = time.Second      // time from the change to the new configuration
	replicaLag        = 3 * time.Second  // lag of a lagging address
	agentOutage       = 12 * time.Second // duration of an agent's outage, during which the node restarts
)

// drainNoticeCase is one order of events in which servers leave.
type drainNoticeCase struct {
	name             string
	steps            func(r *drainNoticeRun) // events of the case in their order, among them the change
	modes            []string                // modes of discovery; nil: both
	needsRunningNode bool                    // no additional run with SIGTERM, because the case needs a node that keeps running
}

// drainNoticeCases are the cases of TestServerGetsNoRequestsAfterItsDrainNotice.
var drainNoticeCases = []drainNoticeCase{
	{name: "half of the answers are whole lists of an earlier version", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.alternateEarlierLists()
	}},
	{name: "watches get the whole list from before the change, others the current one", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.source.SetFault(standin.ByCallKind(standin.EarlierList(1), nil))
		r.changeOften()
	}},
	{name: "calls for the whole list get the one from before the change, watches get an error", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.source.SetFault(standin.ByCallKind(standin.UnknownVersion, standin.EarlierList(1)))
	}},
	{name: "calls reach a replica that never catches up", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		frozenReplica := r.startReplica(standin.NeverCatchesUp)
		r.announceDrainAndAwait()
		r.source.SetFault(standin.AnsweredBy(frozenReplica))
	}},
	{name: "every answer is the whole list from before the change", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.source.SetFault(standin.EarlierList(1))
	}},
	{name: "a new configuration names an address that lags", steps: func(r *drainNoticeRun) {
		lagging := r.startReplica(replicaLag)
		r.announceDrainAndAwait()
		time.Sleep(reloadAfterChange)
		r.reload(lagging)
		r.observeUntil = r.changedAt.Add(replicaLag + 2*time.Second)
	}},
	{name: "two new configurations in a row name addresses that lag", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		first, second := r.startReplica(replicaLag), r.startReplica(2*replicaLag)
		r.announceDrainAndAwait()
		time.Sleep(reloadAfterChange)
		r.reload(first)
		time.Sleep(reloadAfterChange)
		r.reload(second)
		r.observeUntil = r.changedAt.Add(2*replicaLag + 2*time.Second)
	}},
	{name: "a new configuration names the first address, which now lags", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		second := r.startReplica(0)
		r.announceDrainAndAwait()
		r.reload(second)
		r.awaitWatch(second, r.changeVersion)
		r.source.SetFault(standin.EarlierList(1))
		r.reload(r.source)
		time.Sleep(replicaLag)
		r.source.SetFault(nil)
	}},
	{name: "versions restart, with the list from before the change", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.source.Restart(r.allEntries(standin.InService, 0))
	}},
	{name: "the servers come back in a later version at the same address", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		time.Sleep(2 * time.Second)
		r.source.Change(r.leavingEntries(standin.InService, 0)...)
		r.returnedAt = time.Now()
	}},
	{name: "the servers restart, and the same address lists them", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		time.Sleep(2 * time.Second)
		r.source.Change(r.leavingEntries(standin.InService, time.Now().UnixMilli())...)
		r.returnedAt = time.Now()
	}},
	{name: "the servers restart, and another address lists them", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		time.Sleep(2 * time.Second)
		other := standin.NewDiscovery(r.allEntries(standin.InService, time.Now().UnixMilli()))
		r.t.Cleanup(other.Close)
		r.reload(other)
		r.returnedAt = time.Now()
	}},
	{name: "the message is complete, the end of the answer comes 8 s late", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.LateEnd(8 * time.Second))
		r.announceDrain()
	}},
	{name: "the message is complete, the end of the answer never comes", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.NoEnd)
		r.announceDrain()
	}},
	{name: "the message is complete, a reset comes instead of the end of the answer", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.ResetEnd)
		r.announceDrain()
	}},
	{name: "the message is complete, spaces follow and the end of the answer never comes", steps: func(r *drainNoticeRun) {
		const paddingSpaces = 4 << 10
		r.source.SetFault(standin.Padded(paddingSpaces, standin.NoEnd))
		r.announceDrain()
	}},
	{name: "the entries come at once, the rest of the answer 5 s later", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.DelayAfterEntries(leavingServerCount, 5*time.Second))
		r.announceDrain()
	}},
	{name: "the entries come at once, a reset follows them", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.ResetAfterEntries(leavingServerCount))
		r.announceDrain()
	}},
	{name: "the entries of the leaving servers come at once, the others one by one", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.EntryByEntry(leavingServerCount, 1500*time.Millisecond))
		r.announceDrain()
	}},
	{name: "the version comes after the entries", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.VersionLast((*standin.Call).Answer))
		r.announceDrain()
	}},
	{name: "the version comes after the entries, 5 s later", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.VersionLast(standin.DelayAfterEntries(leavingServerCount, 5*time.Second)))
		r.announceDrain()
	}},
	{name: "a whole list omits the servers, then an earlier one lists them", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.WholeList)
		r.announceRemoval()
		r.awaitWatch(r.source, r.changeVersion)
		r.alternateEarlierLists()
	}},
	{name: "SIGKILL and a start with the old list while the agent is down", needsRunningNode: true,
		modes: []string{"pushed"}, steps: func(r *drainNoticeRun) {
			r.announceDrainAndAwait()
			r.source.SetFault(standin.Reset)
			r.restart()
			time.Sleep(time.Until(r.changedAt.Add(agentOutage)))
			r.source.SetFault(nil)
			r.mustServeFrom = time.Now()
			r.observeUntil = r.mustServeFrom.Add(observedAfterNotice)
		}},
}

// drainNoticeRun runs a case with one node and a client that sends requests to it all the time.
type drainNoticeRun struct {
	t                *testing.T
	testCase         drainNoticeCase
	mode             string
	withSIGTERM      bool               // SIGTERM is sent right before the change
	source           *standin.Discovery // first discovery service
	stayingAddr      string             // address of the staying servers
	leavingAddr      string             // address of the leaving servers
	addr             string
	configPath       string
	currentDiscovery *standin.Discovery // discovery service that the configuration names
	cmd              *exec.Cmd
	client           http.Client

	changeVersion  int64     // list version of the change
	changedAt      time.Time // time right before the change, the earliest at which the node can know it
	observeUntil   time.Time // end of the observation
	returnedAt     time.Time // time when the servers came back; zero: they do not
	mustServeFrom  time.Time // time from which requests have to be served; zero: from the change on
	notReadyReason string    // error text if a restarted node was not ready in time; empty: it was ready

	mu                  sync.Mutex
	log                 bytes.Buffer
	logOffset           int         // length of the log before the change
	leavingRequestTimes []time.Time // times of requests to the leaving servers
	stayingRequestTimes []time.Time // times of requests to the staying servers
}

// Write implements io.Writer. It collects the log of all processes of the node.
func (r *drainNoticeRun) Write(text []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(text)
}

// recordTimes returns a handler that answers requests and records when they arrived.
func (r *drainNoticeRun) recordTimes(times *[]time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		*times = append(*times, time.Now())
		r.mu.Unlock()
		echoCorrelationID(w, request)
	})
}

// leavingEntries returns the entries of the leaving servers; all of them have one address.
func (r *drainNoticeRun) leavingEntries(state string, bootMs int64) (entries []standin.Entry) {
	for i := range leavingServerCount {
		entry := newEntry(fmt.Sprint("leaves-", i), r.leavingAddr, state)
		entry.BootMs = bootMs
		entries = append(entries, entry)
	}
	return entries
}

// allEntries returns all entries, the leaving servers before the others, which is the order in which the service lists
// them.
func (r *drainNoticeRun) allEntries(state string, bootMs int64) []standin.Entry {
	entries := r.leavingEntries(state, bootMs)
	for i := range stayingServerCount {
		entries = append(entries, newEntry(fmt.Sprint("stays-", i), r.stayingAddr, standin.InService))
	}
	return entries
}

// prepare starts the servers and discovery and writes the configuration.
func (r *drainNoticeRun) prepare() {
	r.stayingAddr = startServer(r.t, r.recordTimes(&r.stayingRequestTimes))
	r.leavingAddr = startServer(r.t, r.recordTimes(&r.leavingRequestTimes))
	r.addr = freeAddress(r.t)
	r.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
	r.source = standin.NewDiscovery(r.allEntries(standin.InService, 0))
	r.t.Cleanup(r.source.Close)
	r.currentDiscovery = r.source
	r.configPath = writeConfig(r.t, func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = r.addr, r.source.Addr(), r.source.KnownList()
		c["settings"] = map[string]any{
			"Balancers": 8, "Me": 3, "RegistryMode": r.mode, "Zones": []string{"a"},
			"Classes":  []any{map[string]any{"Name": "read", "DeadlineMs": 3000, "PromiseMs": 1000, "Effect": "pure"}},
			"Contract": map[string]any{"MustAskInMs": 10000, "DrainGraceMs": noticeDrainGrace.Milliseconds()},
			"Limits":   map[string]any{"MaxAttempts": 2},
		}
	})
}

// start starts the node.
func (r *drainNoticeRun) start() {
	r.cmd = programCommand(r.configPath)
	r.cmd.Stderr = r
	if err := r.cmd.Start(); err != nil {
		r.t.Errorf("%s: %v", r.name(), err)
	}
}

// stop ends the node's process with SIGKILL.
func (r *drainNoticeRun) stop() {
	r.cmd.Process.Kill()
	r.cmd.Wait()
}

// restart ends the node with SIGKILL and starts it again.
func (r *drainNoticeRun) restart() {
	r.stop()
	r.start()
	startedAt := time.Now()
	for !r.isReady() {
		if time.Since(startedAt) > readyTimeout {
			r.notReadyReason = fmt.Sprintf("the node is not ready %v after its start", readyTimeout)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// isReady reports whether the node answers at /up that it is ready. It uses a separate connection.
func (r *drainNoticeRun) isReady() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + r.addr + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sendRequests sends one request after the other to the node until the channel is closed.
func (r *drainNoticeRun) sendRequests(done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(requestPause):
		}
		sendRequest(&r.client, r.addr, i)
	}
}

// awaitSteadyState waits until the node sends to the leaving servers and its watch is open.
func (r *drainNoticeRun) awaitSteadyState() {
	r.await("a request to a leaving server", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.leavingRequestTimes) > 0
	})
	r.awaitWatch(r.source, 1)
}

// await waits for a condition, and reports an error if it is not met within readyTimeout.
func (r *drainNoticeRun) await(what string, condition func() bool) {
	for end := time.Now().Add(readyTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Errorf("%s: timed out waiting for %s; the log:\n%s", r.name(), what, r.logText())
			return
		}
	}
}

// awaitWatch waits until the node calls a service for the changes since a version.
func (r *drainNoticeRun) awaitWatch(discovery *standin.Discovery, version int64) {
	r.await(fmt.Sprintf("a watch since version %d", version), func() bool { return discovery.WatchedVersion() >= version })
}

// startReplica starts a replica of the first discovery service that lags behind it.
func (r *drainNoticeRun) startReplica(lag time.Duration) *standin.Discovery {
	discovery := standin.NewDiscoveryReplica(r.source, lag)
	r.t.Cleanup(discovery.Close)
	return discovery
}

// makeChange puts the leaving servers into a state, after SIGTERM in runs that include it. All entries change, so that
// the answer has other entries after those of the leaving servers.
func (r *drainNoticeRun) makeChange(state string) {
	if r.withSIGTERM {
		r.cmd.Process.Signal(syscall.SIGTERM)
		r.await("the node to drain", func() bool { return strings.Contains(r.logText(), "msg=draining") })
	}
	r.logOffset = len(r.logText())
	r.changedAt = time.Now()
	r.observeUntil = r.changedAt.Add(observedAfterNotice)
	r.changeVersion = r.source.Change(r.allEntries(state, 0)...)
}

// announceDrain announces that the leaving servers drain.
func (r *drainNoticeRun) announceDrain() { r.makeChange(standin.Terminating) }

// announceRemoval announces that the leaving servers are gone.
func (r *drainNoticeRun) announceRemoval() { r.makeChange(standin.Terminated) }

// announceDrainAndAwait announces that the leaving servers drain, and waits until the node has accepted the change.
func (r *drainNoticeRun) announceDrainAndAwait() {
	r.announceDrain()
	r.awaitWatch(r.source, r.changeVersion)
}

// alternateEarlierLists lets three answers with the whole list from before the change alternate with three current
// answers, so that a node that rejects the earlier version and calls again gets the earlier list again. It also changes
// the list often until the end of the observation.
func (r *drainNoticeRun) alternateEarlierLists() {
	earlierList := standin.EarlierList(1)
	r.source.SetFault(standin.Cycle(earlierList, earlierList, earlierList, nil, nil, nil))
	r.changeOften()
}

// changeOften changes the entry of a staying server repeatedly until the end of the observation, so that each watch is
// answered soon.
func (r *drainNoticeRun) changeOften() {
	for time.Now().Before(r.observeUntil) {
		time.Sleep(200 * time.Millisecond)
		r.source.Change(newEntry("stays-0", r.stayingAddr, standin.InService))
	}
}

// reload reloads the node with a configuration that names another discovery service.
func (r *drainNoticeRun) reload(target *standin.Discovery) {
	text, err := os.ReadFile(r.configPath)
	if err == nil {
		text = bytes.Replace(text, []byte(r.currentDiscovery.Addr()), []byte(target.Addr()), 1)
		err = os.WriteFile(r.configPath+".next", text, 0o600)
	}
	if err == nil {
		err = os.Rename(r.configPath+".next", r.configPath)
	}
	if err != nil {
		r.t.Errorf("%s: %v", r.name(), err)
	}
	r.currentDiscovery = target
	r.cmd.Process.Signal(syscall.SIGHUP)
}

// logText returns the log so far.
func (r *drainNoticeRun) logText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.String()
}

// name returns the name of the run: its case, its mode and whether it includes SIGTERM.
func (r *drainNoticeRun) name() string {
	name := strings.ReplaceAll(r.testCase.name, " ", "_") + "/" + r.mode
	if r.withSIGTERM {
		name += "/SIGTERM"
	}
	return name
}

// run starts the node, runs the case and observes the node to the end.
func (r *drainNoticeRun) run() {
	r.start()
	defer r.stop()
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { r.sendRequests(done) })
	r.awaitSteadyState()
	r.testCase.steps(r)
	if !r.returnedAt.IsZero() {
		r.observeUntil = r.returnedAt.Add(maxReturnDelay)
	}
	time.Sleep(time.Until(r.observeUntil))
	close(done)
	clients.Wait()
	r.client.CloseIdleConnections()
}

// timesBetween returns the times after one instant and up to and including another.
func timesBetween(times []time.Time, from, to time.Time) (within []time.Time) {
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			within = append(within, at)
		}
	}
	return within
}

// check reports each violation of the rules as an error of the test.
func (r *drainNoticeRun) check(t *testing.T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.observeUntil
	if !r.returnedAt.IsZero() {
		end = r.returnedAt
		if len(timesBetween(r.leavingRequestTimes, r.returnedAt, r.observeUntil)) == 0 {
			t.Errorf("the servers that came back got no request within %v", maxReturnDelay)
		}
	}
	if misrouted := timesBetween(r.leavingRequestTimes, r.changedAt.Add(maxSendAfterNotice), end); len(misrouted) > 0 {
		t.Errorf("%d requests to leaving servers, from %v to %v after the change; %v is allowed",
			len(misrouted), misrouted[0].Sub(r.changedAt), misrouted[len(misrouted)-1].Sub(r.changedAt), maxSendAfterNotice)
	}
	from := r.changedAt
	if !r.mustServeFrom.IsZero() {
		from = r.mustServeFrom
	}
	if len(timesBetween(r.stayingRequestTimes, from, r.observeUntil)) == 0 {
		t.Error("the staying servers got no request while they had to be used")
	}
	if r.notReadyReason != "" {
		t.Error(r.notReadyReason)
	}
	if t.Failed() {
		const maxLogBytes = 6000
		log := r.log.Bytes()[r.logOffset:]
		t.Logf("changed at %s; the log from then on:\n%s", r.changedAt.Format(time.RFC3339Nano), log[:min(len(log), maxLogBytes)])
	}
}

// newRuns returns the runs of a case: one in each of its modes, and another one in each mode with SIGTERM unless the case
// needs a node that keeps running.
func (c drainNoticeCase) newRuns(t *testing.T) (runs []*drainNoticeRun) {
	modes := c.modes
	if modes == nil {
		modes = []string{"on_request", "pushed"}
	}
	for _, mode := range modes {
		runs = append(runs, &drainNoticeRun{t: t, testCase: c, mode: mode})
		if !c.needsRunningNode {
			runs = append(runs, &drainNoticeRun{t: t, testCase: c, mode: mode, withSIGTERM: true})
		}
	}
	return runs
}

// TestServerGetsNoRequestsAfterItsDrainNotice runs maxConcurrentRuns cases at a time, because they spend most of their
// time waiting; all of them at once would compete for the CPU. It checks their results one by one afterwards.
func TestServerGetsNoRequestsAfterItsDrainNotice(t *testing.T) {
	var runs []*drainNoticeRun
	for _, testCase := range drainNoticeCases {
		runs = append(runs, testCase.newRuns(t)...)
	}
	var running sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRuns)
	for _, r := range runs {
		slots <- struct{}{}
		r.prepare()
		running.Go(func() {
			defer func() { <-slots }()
			r.run()
		})
	}
	running.Wait()
	for _, r := range runs {
		t.Run(r.name(), r.check)
	}
}
