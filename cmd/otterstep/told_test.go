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
	toldGrace   = 300 * time.Millisecond // drain grace of the settings
	toldSlack   = 50 * time.Millisecond  // that the rules add to each limit
	toldMachine = 200 * time.Millisecond // for a busy machine
	toldAllowed = toldGrace + toldSlack + toldMachine

	toldWatched = 5 * time.Second       // how long a node is observed after the change, in most rows
	toldReturns = 3 * time.Second       // in which a server that came back gets work again
	toldPause   = 20 * time.Millisecond // between two requests of a client
	toldLeave   = 8                     // servers that leave, so that a node that may send to them soon does,
	toldStay    = 3                     // and servers that stay

	toldAtOnce = 16 // rows that are played side by side

	toldReload = time.Second      // from the change to the new configuration
	toldLag    = 3 * time.Second  // of an address that lags
	toldAway   = 12 * time.Second // of an agent, through a restart
)

// toldRow is one order of events, with servers that leave in it.
type toldRow struct {
	name  string
	play  func(r *toldRun)
	modes []string // nil: both
	whole bool     // it is not crossed with SIGTERM, as it needs a node that goes on
}

var toldRows = []toldRow{
	{name: "half of the answers are whole lists of an earlier version", play: func(r *toldRun) {
		r.drainTaken()
		r.answerHalfFromBefore()
	}},
	{name: "watches are answered with the whole list of before, calls for it with the present one", play: func(r *toldRun) {
		r.drainTaken()
		r.source.SetFault(standin.ByCallKind(standin.EarlierList(1), nil))
		r.touchOften()
	}},
	{name: "calls for the whole list are answered with that of before, watches are refused", play: func(r *toldRun) {
		r.drainTaken()
		r.source.SetFault(standin.ByCallKind(standin.UnknownVersion, standin.EarlierList(1)))
	}},
	{name: "calls reach a replica that stands still", whole: true, play: func(r *toldRun) {
		frozen := r.replica(standin.NeverCatchesUp)
		r.drainTaken()
		r.source.SetFault(standin.AnsweredBy(frozen))
	}},
	{name: "every answer is the whole list of before", play: func(r *toldRun) {
		r.drainTaken()
		r.source.SetFault(standin.EarlierList(1))
	}},
	{name: "a new configuration names an address that lags", play: func(r *toldRun) {
		lagging := r.replica(toldLag)
		r.drainTaken()
		time.Sleep(toldReload)
		r.reload(lagging)
		r.until = r.told.Add(toldLag + 2*time.Second)
	}},
	{name: "new configurations name two addresses in a row that lag", whole: true, play: func(r *toldRun) {
		first, second := r.replica(toldLag), r.replica(2*toldLag)
		r.drainTaken()
		time.Sleep(toldReload)
		r.reload(first)
		time.Sleep(toldReload)
		r.reload(second)
		r.until = r.told.Add(2*toldLag + 2*time.Second)
	}},
	{name: "back to the first address, which lags now", whole: true, play: func(r *toldRun) {
		second := r.replica(0)
		r.drainTaken()
		r.reload(second)
		r.awaitWatch(second, r.rev)
		r.source.SetFault(standin.EarlierList(1))
		r.reload(r.source)
		time.Sleep(toldLag)
		r.source.SetFault(nil)
	}},
	{name: "the version counter starts anew with the list of before", play: func(r *toldRun) {
		r.drainTaken()
		r.source.Restart(r.lines(standin.InService, 0))
	}},
	{name: "the servers come back by a later version of the same address", whole: true, play: func(r *toldRun) {
		r.drainTaken()
		time.Sleep(2 * time.Second)
		r.source.Change(r.leavers(standin.InService, 0)...)
		r.returned = time.Now()
	}},
	{name: "the servers start anew, as the same address tells", whole: true, play: func(r *toldRun) {
		r.drainTaken()
		time.Sleep(2 * time.Second)
		r.source.Change(r.leavers(standin.InService, time.Now().UnixMilli())...)
		r.returned = time.Now()
	}},
	{name: "the servers start anew, as another address tells", whole: true, play: func(r *toldRun) {
		r.drainTaken()
		time.Sleep(2 * time.Second)
		other := standin.NewDiscovery(r.lines(standin.InService, time.Now().UnixMilli()))
		r.t.Cleanup(other.Close)
		r.reload(other)
		r.returned = time.Now()
	}},
	{name: "an answer is whole and its end comes 8 s late", play: func(r *toldRun) {
		r.source.SetFault(standin.LateEnd(8 * time.Second))
		r.drain()
	}},
	{name: "an answer is whole and its end never comes", play: func(r *toldRun) {
		r.source.SetFault(standin.NoEnd)
		r.drain()
	}},
	{name: "an answer is whole and a reset comes in place of its end", play: func(r *toldRun) {
		r.source.SetFault(standin.ResetEnd)
		r.drain()
	}},
	{name: "an answer is whole and blanks without an end follow it", play: func(r *toldRun) {
		const blanks = 4 << 10
		r.source.SetFault(standin.Padded(blanks, standin.NoEnd))
		r.drain()
	}},
	{name: "the lines come at once, the rest of the answer 5 s later", play: func(r *toldRun) {
		r.source.SetFault(standin.DelayAfterEntries(toldLeave, 5*time.Second))
		r.drain()
	}},
	{name: "the lines come at once, the answer is cut off behind them", play: func(r *toldRun) {
		r.source.SetFault(standin.ResetAfterEntries(toldLeave))
		r.drain()
	}},
	{name: "the lines come at once, the others one by one", play: func(r *toldRun) {
		r.source.SetFault(standin.EntryByEntry(toldLeave, 1500*time.Millisecond))
		r.drain()
	}},
	{name: "the version comes behind the lines", play: func(r *toldRun) {
		r.source.SetFault(standin.VersionLast((*standin.Call).Answer))
		r.drain()
	}},
	{name: "the version comes behind the lines, 5 s later", play: func(r *toldRun) {
		r.source.SetFault(standin.VersionLast(standin.DelayAfterEntries(toldLeave, 5*time.Second)))
		r.drain()
	}},
	{name: "a whole list leaves the servers out, then an earlier one names them", play: func(r *toldRun) {
		r.source.SetFault(standin.WholeList)
		r.tellGone()
		r.awaitWatch(r.source, r.rev)
		r.answerHalfFromBefore()
	}},
	{name: "SIGKILL and a start with the list of before while the agent is away", whole: true,
		modes: []string{"pushed"}, play: func(r *toldRun) {
			r.drainTaken()
			r.source.SetFault(standin.Reset)
			r.restart()
			time.Sleep(time.Until(r.told.Add(toldAway)))
			r.source.SetFault(nil)
			r.servedFrom = time.Now()
			r.until = r.servedFrom.Add(toldWatched)
		}},
}

// toldRun plays a row before one node, with a client that asks it all the time.
type toldRun struct {
	t       *testing.T
	row     toldRow
	mode    string
	ends    bool // SIGTERM comes right before the change
	source  *standin.Discovery
	stays   string // addresses of servers
	leaves  string
	addr    string
	config  string
	current *standin.Discovery // that the configuration names
	cmd     *exec.Cmd
	client  http.Client

	rev        int64     // version of the change
	told       time.Time // when it was written at the earliest
	until      time.Time // the node is observed up to then
	returned   time.Time // the servers came back; zero: they do not
	servedFrom time.Time // requests have to be served from then on
	unready    string    // why a restarted node is not ready in time

	mu     sync.Mutex
	log    bytes.Buffer
	mark   int         // what was logged before the change
	missed []time.Time // requests to the servers that leave
	served []time.Time // requests to those that stay
}

// Write takes what the node logs, of all its processes.
func (r *toldRun) Write(text []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(text)
}

// noting answers requests and notes when they came.
func (r *toldRun) noting(times *[]time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		*times = append(*times, time.Now())
		r.mu.Unlock()
		echo(w, request)
	})
}

// leavers gives the lines of the servers that leave, all at one address.
func (r *toldRun) leavers(state string, bootMs int64) (all []standin.Entry) {
	for i := range toldLeave {
		leaver := line(fmt.Sprint("leaves-", i), r.leaves, state)
		leaver.BootMs = bootMs
		all = append(all, leaver)
	}
	return all
}

// lines gives all lines, those of the servers that leave ahead of the others, as the service sorts them.
func (r *toldRun) lines(state string, bootMs int64) []standin.Entry {
	all := r.leavers(state, bootMs)
	for i := range toldStay {
		all = append(all, line(fmt.Sprint("stays-", i), r.stays, standin.InService))
	}
	return all
}

// prepare puts everything in place but the node.
func (r *toldRun) prepare() {
	r.stays = startServer(r.t, r.noting(&r.served))
	r.leaves = startServer(r.t, r.noting(&r.missed))
	r.addr = freeAddress(r.t)
	r.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1}
	r.source = standin.NewDiscovery(r.lines(standin.InService, 0))
	r.t.Cleanup(r.source.Close)
	r.current = r.source
	r.config = configFile(r.t, func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = r.addr, r.source.Addr(), r.source.KnownList()
		c["settings"] = map[string]any{
			"Balancers": 8, "Me": 3, "RegistryMode": r.mode, "Zones": []string{"a"},
			"Classes":  []any{map[string]any{"Name": "read", "DeadlineMs": 3000, "PromiseMs": 1000, "Effect": "pure"}},
			"Contract": map[string]any{"MustAskInMs": 10000, "DrainGraceMs": toldGrace.Milliseconds()},
			"Limits":   map[string]any{"MaxAttempts": 2},
		}
	})
}

// start starts the node.
func (r *toldRun) start() {
	r.cmd = program(r.config)
	r.cmd.Stderr = r
	if err := r.cmd.Start(); err != nil {
		r.t.Errorf("%s: %v", r.name(), err)
	}
}

// stop ends the node's process.
func (r *toldRun) stop() {
	r.cmd.Process.Kill()
	r.cmd.Wait()
}

// restart ends the node with SIGKILL and starts it again.
func (r *toldRun) restart() {
	r.stop()
	r.start()
	began := time.Now()
	for !r.ready() {
		if time.Since(began) > readyWithin {
			r.unready = fmt.Sprintf("not ready %v after its start", readyWithin)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// ready asks whether the node is up, on a connection of its own.
func (r *toldRun) ready() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + r.addr + "/up")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ask has a client ask the node over and over until the channel closes.
func (r *toldRun) ask(over <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-over:
			return
		case <-time.After(toldPause):
		}
		ask(&r.client, r.addr, i)
	}
}

// settle waits until the node sends to the servers that leave and its watch is open.
func (r *toldRun) settle() {
	r.await("the node sends to a server that leaves", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.missed) > 0
	})
	r.awaitWatch(r.source, 1)
}

// await waits for something that is sure to come.
func (r *toldRun) await(what string, there func() bool) {
	for end := time.Now().Add(readyWithin); !there(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Errorf("%s: waited in vain: %s; the log:\n%s", r.name(), what, r.logged())
			return
		}
	}
}

// awaitWatch waits until the node asks a service for what is newer than a version.
func (r *toldRun) awaitWatch(d *standin.Discovery, rev int64) {
	r.await(fmt.Sprintf("a watch behind version %d", rev), func() bool { return d.WatchedVersion() >= rev })
}

// replica starts a service that lags behind the first one.
func (r *toldRun) replica(lag time.Duration) *standin.Discovery {
	d := standin.NewDiscoveryReplica(r.source, lag)
	r.t.Cleanup(d.Close)
	return d
}

// change makes the change, behind SIGTERM where the row is crossed with it. All lines change, so that
// others follow those of the servers that leave.
func (r *toldRun) change(state string) {
	if r.ends {
		r.cmd.Process.Signal(syscall.SIGTERM)
		r.await("the node drains", func() bool { return strings.Contains(r.logged(), "msg=draining") })
	}
	r.mark = len(r.logged())
	r.told = time.Now()
	r.until = r.told.Add(toldWatched)
	r.rev = r.source.Change(r.lines(state, 0)...)
}

func (r *toldRun) drain()    { r.change(standin.Terminating) }
func (r *toldRun) tellGone() { r.change(standin.Terminated) }

// drainTaken tells that servers drain, and waits until the node has taken it.
func (r *toldRun) drainTaken() {
	r.drain()
	r.awaitWatch(r.source, r.rev)
}

// answerHalfFromBefore has three answers that tell the whole list of before and three present ones take
// turns: a node that drops what goes back, and asks anew, meets the list of before again.
func (r *toldRun) answerHalfFromBefore() {
	before := standin.EarlierList(1)
	r.source.SetFault(standin.Cycle(before, before, before, nil, nil, nil))
	r.touchOften()
}

// touchOften changes another server's line again and again, so that each call is answered soon.
func (r *toldRun) touchOften() {
	for time.Now().Before(r.until) {
		time.Sleep(200 * time.Millisecond)
		r.source.Change(line("stays-0", r.stays, standin.InService))
	}
}

// reload names another address of discovery.
func (r *toldRun) reload(to *standin.Discovery) {
	text, err := os.ReadFile(r.config)
	if err == nil {
		text = bytes.Replace(text, []byte(r.current.Addr()), []byte(to.Addr()), 1)
		err = os.WriteFile(r.config+".next", text, 0o600)
	}
	if err == nil {
		err = os.Rename(r.config+".next", r.config)
	}
	if err != nil {
		r.t.Errorf("%s: %v", r.name(), err)
	}
	r.current = to
	r.cmd.Process.Signal(syscall.SIGHUP)
}

func (r *toldRun) logged() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.String()
}

// name is that of the row as played.
func (r *toldRun) name() string {
	name := strings.ReplaceAll(r.row.name, " ", "_") + "/" + r.mode
	if r.ends {
		name += "/SIGTERM"
	}
	return name
}

// run plays the row.
func (r *toldRun) run() {
	r.start()
	defer r.stop()
	over := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { r.ask(over) })
	r.settle()
	r.row.play(r)
	if !r.returned.IsZero() {
		r.until = r.returned.Add(toldReturns)
	}
	time.Sleep(time.Until(r.until))
	close(over)
	clients.Wait()
	r.client.CloseIdleConnections()
}

// between gives the times that lie after one instant and up to another.
func between(times []time.Time, from, to time.Time) (all []time.Time) {
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			all = append(all, at)
		}
	}
	return all
}

// check reports what the rules do not allow.
func (r *toldRun) check(t *testing.T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.until
	if !r.returned.IsZero() {
		end = r.returned
		if len(between(r.missed, r.returned, r.until)) == 0 {
			t.Errorf("the servers that came back get no request in %v", toldReturns)
		}
	}
	if late := between(r.missed, r.told.Add(toldAllowed), end); len(late) > 0 {
		t.Errorf("%d requests to servers that left, from %v to %v after the node was told, %v is allowed",
			len(late), late[0].Sub(r.told), late[len(late)-1].Sub(r.told), toldAllowed)
	}
	from := r.told
	if !r.servedFrom.IsZero() {
		from = r.servedFrom
	}
	if len(between(r.served, from, r.until)) == 0 {
		t.Error("the servers that stay get no request after the change")
	}
	if r.unready != "" {
		t.Error(r.unready)
	}
	if t.Failed() {
		const most = 6000
		log := r.log.Bytes()[r.mark:]
		t.Logf("told at %s; the log from then on:\n%s", r.told.Format(time.RFC3339Nano), log[:min(len(log), most)])
	}
}

// runs gives a row in each mode, and crossed with SIGTERM where that makes sense.
func (row toldRow) runs(t *testing.T) (all []*toldRun) {
	modes := row.modes
	if modes == nil {
		modes = []string{"on_request", "pushed"}
	}
	for _, mode := range modes {
		all = append(all, &toldRun{t: t, row: row, mode: mode})
		if !row.whole {
			all = append(all, &toldRun{t: t, row: row, mode: mode, ends: true})
		}
	}
	return all
}

// Some rows are played side by side, as most of their time is waiting; their verdicts follow one by one. All of
// them at once would keep each other from the processor.
func TestServerThatWasToldToDrainGetsNoWorkAgain(t *testing.T) {
	var runs []*toldRun
	for _, row := range toldRows {
		runs = append(runs, row.runs(t)...)
	}
	var playing sync.WaitGroup
	places := make(chan struct{}, toldAtOnce)
	for _, r := range runs {
		places <- struct{}{}
		r.prepare()
		playing.Go(func() {
			defer func() { <-places }()
			r.run()
		})
	}
	playing.Wait()
	for _, r := range runs {
		t.Run(r.name(), r.check)
	}
}
