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

// A node that was told that a server drains or is gone sends it no new request later than the drain grace
// after that, whatever the node hears next: answers of an earlier version, from the same address or from
// another one that lags, answers whose end is late, missing or reset, and a restart with an old list.
//
// Each row forces one order of events: the change is made while a watch is open, and what follows begins
// once the node has asked for what is newer than the change, so it has taken it. Faults strike by count.

const (
	noticeDrainGrace      = 300 * time.Millisecond // drain grace of the settings
	noticeTolerance       = 50 * time.Millisecond  // that the rules add to each limit
	noticeSchedulingSlack = 200 * time.Millisecond // for a busy machine
	maxSendAfterNotice    = noticeDrainGrace + noticeTolerance + noticeSchedulingSlack

	observedAfterNotice = 5 * time.Second       // how long a node is observed after the change, in most rows
	maxReturnDelay      = 3 * time.Second       // in which a server that came back gets work again
	requestPause        = 20 * time.Millisecond // between two requests of a client
	leavingServerCount  = 8                     // servers that leave, so that a node that may send to them soon does,
	stayingServerCount  = 3                     // and servers that stay

	maxConcurrentRuns = 16 // rows that are played side by side

	reloadAfterChange = time.Second      // from the change to the new configuration
	replicaLag        = 3 * time.Second  // of an address that lags
	agentOutage       = 12 * time.Second // of an agent, through a restart
)

// toldRow is one order of events, with servers that leave in it.
type drainNoticeCase struct {
	name             string
	steps            func(r *drainNoticeRun)
	modes            []string // nil: both
	needsRunningNode bool     // it is not crossed with SIGTERM, as it needs a node that goes on
}

var drainNoticeCases = []drainNoticeCase{
	{name: "half of the answers are whole lists of an earlier version", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.alternateEarlierLists()
	}},
	{name: "watches are answered with the whole list of before, calls for it with the present one", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.source.SetFault(standin.ByCallKind(standin.EarlierList(1), nil))
		r.changeOften()
	}},
	{name: "calls for the whole list are answered with that of before, watches are refused", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.source.SetFault(standin.ByCallKind(standin.UnknownVersion, standin.EarlierList(1)))
	}},
	{name: "calls reach a replica that stands still", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		frozen := r.startReplica(standin.NeverCatchesUp)
		r.announceDrainAndAwait()
		r.source.SetFault(standin.AnsweredBy(frozen))
	}},
	{name: "every answer is the whole list of before", steps: func(r *drainNoticeRun) {
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
	{name: "new configurations name two addresses in a row that lag", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		first, second := r.startReplica(replicaLag), r.startReplica(2*replicaLag)
		r.announceDrainAndAwait()
		time.Sleep(reloadAfterChange)
		r.reload(first)
		time.Sleep(reloadAfterChange)
		r.reload(second)
		r.observeUntil = r.changedAt.Add(2*replicaLag + 2*time.Second)
	}},
	{name: "back to the first address, which lags now", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		second := r.startReplica(0)
		r.announceDrainAndAwait()
		r.reload(second)
		r.awaitWatch(second, r.changeVersion)
		r.source.SetFault(standin.EarlierList(1))
		r.reload(r.source)
		time.Sleep(replicaLag)
		r.source.SetFault(nil)
	}},
	{name: "the version counter starts anew with the list of before", steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		r.source.Restart(r.allEntries(standin.InService, 0))
	}},
	{name: "the servers come back by a later version of the same address", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		time.Sleep(2 * time.Second)
		r.source.Change(r.leavingEntries(standin.InService, 0)...)
		r.returnedAt = time.Now()
	}},
	{name: "the servers start anew, as the same address tells", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		time.Sleep(2 * time.Second)
		r.source.Change(r.leavingEntries(standin.InService, time.Now().UnixMilli())...)
		r.returnedAt = time.Now()
	}},
	{name: "the servers start anew, as another address tells", needsRunningNode: true, steps: func(r *drainNoticeRun) {
		r.announceDrainAndAwait()
		time.Sleep(2 * time.Second)
		other := standin.NewDiscovery(r.allEntries(standin.InService, time.Now().UnixMilli()))
		r.t.Cleanup(other.Close)
		r.reload(other)
		r.returnedAt = time.Now()
	}},
	{name: "an answer is whole and its end comes 8 s late", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.LateEnd(8 * time.Second))
		r.announceDrain()
	}},
	{name: "an answer is whole and its end never comes", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.NoEnd)
		r.announceDrain()
	}},
	{name: "an answer is whole and a reset comes in place of its end", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.ResetEnd)
		r.announceDrain()
	}},
	{name: "an answer is whole and blanks without an end follow it", steps: func(r *drainNoticeRun) {
		const blanks = 4 << 10
		r.source.SetFault(standin.Padded(blanks, standin.NoEnd))
		r.announceDrain()
	}},
	{name: "the lines come at once, the rest of the answer 5 s later", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.DelayAfterEntries(leavingServerCount, 5*time.Second))
		r.announceDrain()
	}},
	{name: "the lines come at once, the answer is cut off behind them", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.ResetAfterEntries(leavingServerCount))
		r.announceDrain()
	}},
	{name: "the lines come at once, the others one by one", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.EntryByEntry(leavingServerCount, 1500*time.Millisecond))
		r.announceDrain()
	}},
	{name: "the version comes behind the lines", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.VersionLast((*standin.Call).Answer))
		r.announceDrain()
	}},
	{name: "the version comes behind the lines, 5 s later", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.VersionLast(standin.DelayAfterEntries(leavingServerCount, 5*time.Second)))
		r.announceDrain()
	}},
	{name: "a whole list leaves the servers out, then an earlier one names them", steps: func(r *drainNoticeRun) {
		r.source.SetFault(standin.WholeList)
		r.announceRemoval()
		r.awaitWatch(r.source, r.changeVersion)
		r.alternateEarlierLists()
	}},
	{name: "SIGKILL and a start with the list of before while the agent is away", needsRunningNode: true,
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

// toldRun plays a row before one node, with a client that asks it all the time.
type drainNoticeRun struct {
	t                *testing.T
	testCase         drainNoticeCase
	mode             string
	withSIGTERM      bool // SIGTERM comes right before the change
	source           *standin.Discovery
	stayingAddr      string // addresses of servers
	leavingAddr      string
	addr             string
	configPath       string
	currentDiscovery *standin.Discovery // that the configuration names
	cmd              *exec.Cmd
	client           http.Client

	changeVersion  int64     // version of the change
	changedAt      time.Time // when it was written at the earliest
	observeUntil   time.Time // the node is observed up to then
	returnedAt     time.Time // the servers came back; zero: they do not
	mustServeFrom  time.Time // requests have to be served from then on
	notReadyReason string    // why a restarted node is not ready in time

	mu                  sync.Mutex
	log                 bytes.Buffer
	logOffset           int         // what was logged before the change
	leavingRequestTimes []time.Time // requests to the servers that leave
	stayingRequestTimes []time.Time // requests to those that stay
}

// Write takes what the node logs, of all its processes.
func (r *drainNoticeRun) Write(text []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(text)
}

// noting answers requests and notes when they came.
func (r *drainNoticeRun) recordTimes(times *[]time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		*times = append(*times, time.Now())
		r.mu.Unlock()
		echoCorrelationID(w, request)
	})
}

// leavers gives the lines of the servers that leave, all at one address.
func (r *drainNoticeRun) leavingEntries(state string, bootMs int64) (entries []standin.Entry) {
	for i := range leavingServerCount {
		entry := newEntry(fmt.Sprint("leaves-", i), r.leavingAddr, state)
		entry.BootMs = bootMs
		entries = append(entries, entry)
	}
	return entries
}

// lines gives all lines, those of the servers that leave ahead of the others, as the service sorts them.
func (r *drainNoticeRun) allEntries(state string, bootMs int64) []standin.Entry {
	entries := r.leavingEntries(state, bootMs)
	for i := range stayingServerCount {
		entries = append(entries, newEntry(fmt.Sprint("stays-", i), r.stayingAddr, standin.InService))
	}
	return entries
}

// prepare puts everything in place but the node.
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

// stop ends the node's process.
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
			r.notReadyReason = fmt.Sprintf("not ready %v after its start", readyTimeout)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ready asks whether the node is up, on a connection of its own.
func (r *drainNoticeRun) isReady() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + r.addr + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ask has a client ask the node over and over until the channel closes.
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

// settle waits until the node sends to the servers that leave and its watch is open.
func (r *drainNoticeRun) awaitSteadyState() {
	r.await("the node sends to a server that leaves", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.leavingRequestTimes) > 0
	})
	r.awaitWatch(r.source, 1)
}

// await waits for something that is sure to come.
func (r *drainNoticeRun) await(what string, condition func() bool) {
	for end := time.Now().Add(readyTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Errorf("%s: waited in vain: %s; the log:\n%s", r.name(), what, r.logText())
			return
		}
	}
}

// awaitWatch waits until the node asks a service for what is newer than a version.
func (r *drainNoticeRun) awaitWatch(discovery *standin.Discovery, version int64) {
	r.await(fmt.Sprintf("a watch behind version %d", version), func() bool { return discovery.WatchedVersion() >= version })
}

// replica starts a service that lags behind the first one.
func (r *drainNoticeRun) startReplica(lag time.Duration) *standin.Discovery {
	discovery := standin.NewDiscoveryReplica(r.source, lag)
	r.t.Cleanup(discovery.Close)
	return discovery
}

// change makes the change, behind SIGTERM where the row is crossed with it. All lines change, so that
// others follow those of the servers that leave.
func (r *drainNoticeRun) makeChange(state string) {
	if r.withSIGTERM {
		r.cmd.Process.Signal(syscall.SIGTERM)
		r.await("the node drains", func() bool { return strings.Contains(r.logText(), "msg=draining") })
	}
	r.logOffset = len(r.logText())
	r.changedAt = time.Now()
	r.observeUntil = r.changedAt.Add(observedAfterNotice)
	r.changeVersion = r.source.Change(r.allEntries(state, 0)...)
}

func (r *drainNoticeRun) announceDrain()   { r.makeChange(standin.Terminating) }
func (r *drainNoticeRun) announceRemoval() { r.makeChange(standin.Terminated) }

// drainTaken tells that servers drain, and waits until the node has taken it.
func (r *drainNoticeRun) announceDrainAndAwait() {
	r.announceDrain()
	r.awaitWatch(r.source, r.changeVersion)
}

// answerHalfFromBefore has three answers that tell the whole list of before and three present ones take
// turns: a node that drops what goes back, and asks anew, meets the list of before again.
func (r *drainNoticeRun) alternateEarlierLists() {
	earlierList := standin.EarlierList(1)
	r.source.SetFault(standin.Cycle(earlierList, earlierList, earlierList, nil, nil, nil))
	r.changeOften()
}

// touchOften changes another server's line again and again, so that each call is answered soon.
func (r *drainNoticeRun) changeOften() {
	for time.Now().Before(r.observeUntil) {
		time.Sleep(200 * time.Millisecond)
		r.source.Change(newEntry("stays-0", r.stayingAddr, standin.InService))
	}
}

// reload names another address of discovery.
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

func (r *drainNoticeRun) logText() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.String()
}

// name is that of the row as played.
func (r *drainNoticeRun) name() string {
	name := strings.ReplaceAll(r.testCase.name, " ", "_") + "/" + r.mode
	if r.withSIGTERM {
		name += "/SIGTERM"
	}
	return name
}

// run plays the row.
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

// between gives the times that lie after one instant and up to another.
func timesBetween(times []time.Time, from, to time.Time) (within []time.Time) {
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			within = append(within, at)
		}
	}
	return within
}

// check reports what the rules do not allow.
func (r *drainNoticeRun) check(t *testing.T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.observeUntil
	if !r.returnedAt.IsZero() {
		end = r.returnedAt
		if len(timesBetween(r.leavingRequestTimes, r.returnedAt, r.observeUntil)) == 0 {
			t.Errorf("the servers that came back get no request in %v", maxReturnDelay)
		}
	}
	if misrouted := timesBetween(r.leavingRequestTimes, r.changedAt.Add(maxSendAfterNotice), end); len(misrouted) > 0 {
		t.Errorf("%d requests to servers that left, from %v to %v after the node was told, %v is allowed",
			len(misrouted), misrouted[0].Sub(r.changedAt), misrouted[len(misrouted)-1].Sub(r.changedAt), maxSendAfterNotice)
	}
	from := r.changedAt
	if !r.mustServeFrom.IsZero() {
		from = r.mustServeFrom
	}
	if len(timesBetween(r.stayingRequestTimes, from, r.observeUntil)) == 0 {
		t.Error("the servers that stay get no request after the change")
	}
	if r.notReadyReason != "" {
		t.Error(r.notReadyReason)
	}
	if t.Failed() {
		const maxLogBytes = 6000
		log := r.log.Bytes()[r.logOffset:]
		t.Logf("told at %s; the log from then on:\n%s", r.changedAt.Format(time.RFC3339Nano), log[:min(len(log), maxLogBytes)])
	}
}

// runs gives a row in each mode, and crossed with SIGTERM where that makes sense.
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

// Some rows are played side by side, as most of their time is waiting; their verdicts follow one by one. All of
// them at once would keep each other from the processor.
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
