package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"otterstep/internal/wire"
	"otterstep/policy"
)

const (
	// pollWait is how long discovery is asked to wait for changes where none are waited for.
	pollWait = time.Millisecond

	// callPatience is how long a call is left out, beyond the time that discovery is asked to wait, for
	// its answer to begin, and how long an answer that has begun may pause. The module calls anew long
	// before: this only ends what will never be answered.
	callPatience = 30 * time.Second
	callConnect  = 10 * time.Second // for its connection to come up
	callIdle     = 30 * time.Second // a connection rests for so long, as one to an address of before

	// lastWords is how long a call that is given up is still read: what discovery has written by then
	// counts as told.
	lastWords = 50 * time.Millisecond
	// answerRest is how long the end of an answer is waited for behind a message that is whole, so that
	// its connection may be used again.
	answerRest = 200 * time.Millisecond
	// restingMost bounds the connections that wait so; each holds a descriptor.
	restingMost = 4
)

// hostList is discovery's list of servers or the changes to it.
type hostList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

// discovery carries out the module's calls for the list, several at a time, and keeps the version that the
// node has: answers come in any order, and one of an older version says nothing new.
type discovery struct {
	addr     string
	zones    []string
	clock    clock
	patience time.Duration
	log      *callLog
	members  func(news listNews)                 // hands a list on
	ended    func(end policy.CallEnd)            // tells the module of the end of a call
	arrived  func(id policy.CallID, bytes int64) // and of the bytes of its answer so far
	gate     *sendGate

	client  http.Client
	orders  *callOrders
	moves   chan string // new addresses of discovery
	replies chan callReply
	out     map[policy.CallID]*listCall
	resting []*listCall // the latest whose answers were whole before their end had come

	source  policy.SourceID // of the versions
	rev     int64
	listed  bool      // rev is discovery's own
	epoch   int       // of its versions; those of another one say nothing
	takenAt time.Time // when rev was heard
}

// listNews is what discovery says of servers; endpoints go with the entries.
type listNews struct {
	kind      policy.ListKind
	origin    policy.Origin
	entries   []policy.Entry
	endpoints []string
}

// listCall is a call that is out.
type listCall struct {
	policy.Call
	source   policy.SourceID
	whole    bool  // it asks for the whole list
	since    int64 // or else for what is newer than this version
	epoch    int
	began    time.Time
	end      context.CancelFunc
	deliver  func(callReply) // hands on what comes of it
	answered bool            // its answer was handed on before its end; for fetch alone
}

// callReply is what came of a call.
type callReply struct {
	call        *listCall
	list        serverList
	bytes       int64 // of the answer
	err         error
	part        bool // the list holds lines of an answer that is not whole yet, and more will come
	named       bool // it is a whole list, and all of its lines have come
	unversioned bool // their version is not known yet
	open        bool // the answer is whole, and the end of its framing has not come

	reopen func() // the gate, which is shut since then to servers that the list takes out of service
}

// namesAll tells whether the servers are out of service that the reply does not name.
func (r *callReply) namesAll() bool { return r.err == nil && r.list.all && (!r.part || r.named) }

func newDiscovery(addr string, site wire.Site, c clock, log *slog.Logger) *discovery {
	return &discovery{
		addr: addr, source: sourceID(addr), gate: newSendGate(), zones: site.Zones, clock: c, patience: callPatience, log: &callLog{log: log, lines: new(atomic.Int64)},
		client: http.Client{
			Transport: &http.Transport{
				DialContext: dialTCP(callConnect).dialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: callIdle,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		orders: newCallOrders(), moves: make(chan string),
		replies: make(chan callReply), out: map[policy.CallID]*listCall{},
		arrived: func(policy.CallID, int64) {},
	}
}

// follow has the list and the ends of calls handed on to a loop. It waits until they are in place: the
// module hears of the end of a call behind the list that it brought.
func (d *discovery) follow(l *loop) {
	d.gate = l.gate
	d.members = func(news listNews) {
		l.await(func() { l.members(news) })
	}
	d.ended = func(end policy.CallEnd) {
		l.await(func() { l.balancer.CallEnded(l.now, end) })
	}
	d.arrived = func(id policy.CallID, bytes int64) {
		l.post(func() { l.balancer.CallProgress(l.now, id, bytes) })
	}
}

// start hands on the list that this node last had. Where it is a whole one, what has changed since is
// asked for: whole lists, called for by all nodes at once, would keep discovery busy for seconds.
func (d *discovery) start(known hostList, asked bool) {
	var list serverList
	for _, t := range known.Targets {
		list.add(t, d.zones, d.clock)
	}
	if asked && len(known.Targets) > 0 {
		d.rev, d.listed = known.Rev, known.All
	}
	d.tell(policy.ListCached, policy.Origin{Source: d.source, Version: known.Rev}, list)
}

// tell hands on what discovery says.
func (d *discovery) tell(kind policy.ListKind, origin policy.Origin, list serverList) {
	d.members(listNews{kind: kind, origin: origin, entries: list.entries, endpoints: list.endpoints})
}

// run carries out calls until ctx ends.
func (d *discovery) run(ctx context.Context) {
	defer d.leave()
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-d.moves:
			d.settle(addr)
		case <-d.orders.there:
			for _, order := range d.orders.take() {
				d.obey(ctx, order)
			}
		case reply := <-d.replies:
			d.replied(reply)
			reply.reopen()
		}
	}
}

// move makes run go on at another address.
func (d *discovery) move(ctx context.Context, addr string) {
	select {
	case d.moves <- addr:
	case <-ctx.Done():
	}
}

// settle goes on at another address, which counts versions of its own.
func (d *discovery) settle(addr string) {
	d.leave()
	d.addr, d.source, d.rev = addr, sourceID(addr), 0
	d.loseVersion()
	d.tell(policy.ListAddressChanged, policy.Origin{}, serverList{})
}

// leave gives up all calls that are out.
func (d *discovery) leave() {
	for id := range d.out {
		d.giveUp(id)
	}
	d.client.CloseIdleConnections()
}

// giveUp ends a call. Of what still comes of it only what takes servers out of service counts.
func (d *discovery) giveUp(id policy.CallID) {
	if call := d.out[id]; call != nil {
		time.AfterFunc(lastWords, call.end)
		delete(d.out, id)
	}
}

// loseVersion has the next call ask for the whole list. What comes of those that are out can't be added
// to any.
func (d *discovery) loseVersion() {
	d.listed = false
	d.epoch++
}

// obey carries out what the module wants.
func (d *discovery) obey(ctx context.Context, order callOrder) {
	if order.ends {
		d.giveUp(order.call.ID)
		return
	}
	running := ctx
	ctx, end := context.WithCancel(running)
	call := &listCall{
		deliver: func(reply callReply) { d.deliver(running, reply) },
		Call:    order.call, source: d.source, whole: !d.listed, since: d.rev, epoch: d.epoch, began: time.Now(), end: end,
	}
	d.out[call.ID] = call
	d.log.began(call, d.addr)
	address := d.address(call)
	go func() {
		defer end()
		if reply := d.fetch(ctx, call, address); !call.answered {
			call.deliver(reply)
		}
	}()
}

// deliver hands a reply to run, also one of a call that has ended meanwhile: it was written before. However long
// run is busy, no request goes out from now on to servers that the reply takes out of service.
func (d *discovery) deliver(running context.Context, reply callReply) {
	reply.list.readAt = time.Now()
	reply.reopen = d.gate.shut(reply.list.entries, reply.namesAll())
	select {
	case d.replies <- reply:
	case <-running.Done():
		reply.reopen()
	}
}

// address is what a call gets.
func (d *discovery) address(call *listCall) url.URL {
	address := url.URL{Scheme: "http", Host: d.addr, Path: "/discovery/hosts"}
	if !call.whole {
		address.RawQuery = "since=" + strconv.FormatInt(call.since, 10) +
			"&timeout_ms=" + strconv.FormatInt(max(call.WaitForChanges, pollWait).Milliseconds(), 10)
	}
	return address
}

// statusError tells that discovery has answered with another status than 200.
type statusError struct {
	code   int
	status string
}

func (e *statusError) Error() string { return "status " + e.status }

// unusableError tells that discovery has answered, and that its answer can't be taken.
type unusableError struct{ err error }

func (e *unusableError) Error() string { return e.err.Error() }
func (e *unusableError) Unwrap() error { return e.err }

// fetch makes a call and reads its answer; it touches nothing of d that changes.
func (d *discovery) fetch(ctx context.Context, call *listCall, address url.URL) callReply {
	reply := callReply{call: call}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := newProgress(call.WaitForChanges+d.patience, d.patience, func() { cancel(context.DeadlineExceeded) })
	defer limit.stop()
	limit.arrived = func(bytes int) { d.arrived(call.ID, int64(bytes)) }
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		reply.err = fmt.Errorf("list: %w", err)
		return reply
	}
	resp, err := d.client.Do(req)
	if err != nil {
		reply.err = listError(ctx, err)
		return reply
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		reply.err = fmt.Errorf("list: %w", &statusError{resp.StatusCode, resp.Status})
		return reply
	}
	reply.list, err = followList(limit.follow(resp.Body), d.zones, d.clock, listProgress{
		leaving: func(lines serverList, versioned bool) {
			call.deliver(callReply{call: call, list: lines, part: true, unversioned: !versioned})
		},
		named: func(list serverList) {
			call.deliver(callReply{call: call, list: list, part: true, named: true})
		},
		whole: func(list serverList) {
			call.answered = true
			time.AfterFunc(answerRest, func() { cancel(nil) })
			call.deliver(callReply{call: call, list: list, bytes: int64(limit.read), open: true})
		},
	})
	reply.bytes = int64(limit.read)
	if err != nil {
		reply.err = &unusableError{listError(ctx, err)}
	}
	return reply
}

// replied takes what came of a call, and tells the module.
func (d *discovery) replied(reply callReply) {
	call := reply.call
	if reply.part || d.out[call.ID] != call { // more of it will come, or it was given up meanwhile
		d.takeLeaving(unusableKind(&reply), reply)
		return
	}
	delete(d.out, call.ID)
	if reply.open {
		d.rest(call)
	} else {
		call.end()
	}
	if reply.err == nil {
		kind := unusableKind(&reply)
		if reply.err = d.check(call, reply.list); reply.err != nil {
			d.takeLeaving(kind, reply)
		}
	}
	var status *statusError
	if errors.As(reply.err, &status) && status.code/100 == 4 && call.epoch == d.epoch {
		d.loseVersion() // discovery does not know it: start over
	}
	end := policy.CallEnd{ID: call.ID, Result: policy.CallAnswered, UnusableBytes: reply.bytes}
	var unusable *unusableError
	switch {
	case errors.As(reply.err, &unusable):
		end.Result = policy.CallUnusable
	case status != nil:
		end.Result = policy.CallRefused
	case reply.err != nil:
		end.Result = policy.CallFailed
	default:
		end.Changed = d.take(reply.list)
	}
	if reply.err == nil {
		d.log.answered(d.rev)
	} else {
		d.log.failed(call, reply.err, d.rev)
	}
	d.ended(end)
}

// rest leaves the end of an answer time to come; the oldest of several that are waited for is given up.
func (d *discovery) rest(call *listCall) {
	if d.resting = append(d.resting, call); len(d.resting) > restingMost {
		d.resting[0].end()
		d.resting = slices.Delete(d.resting, 0, 1)
	}
}

// check tells why an answer can't be taken. One that goes back behind the version that the node had when
// it was asked for comes from a discovery that counts anew, or once more from before.
func (d *discovery) check(call *listCall, list serverList) error {
	switch {
	case call.epoch != d.epoch:
		return errors.New("list: the version that it counts from is lost")
	case call.whole && !list.all:
		return &unusableError{errors.New("list: changes in place of the whole list")}
	case d.goesBack(call, list):
		d.loseVersion()
		return &unusableError{fmt.Errorf("list: version %d after %d", list.rev, d.rev)}
	}
	return nil
}

// takeLeaving hands on what an answer takes out of service that is not whole, or can't be taken otherwise.
func (d *discovery) takeLeaving(kind policy.ListKind, reply callReply) {
	list, call := reply.list, reply.call
	overtaken := call.source == d.source && d.listed && list.rev < d.rev && call.began.Before(d.takenAt) &&
		!d.goesBack(call, list)
	if len(list.entries) == 0 && kind != policy.ListOutdated || overtaken && !reply.unversioned {
		return
	}
	origin := policy.Origin{Source: call.source, Version: list.rev}
	if reply.unversioned {
		origin.Version = policy.UnknownVersion
	}
	d.log.leaving(list, call, origin.Version)
	d.tell(kind, origin, list)
}

// unusableKind is how an answer counts that can't be taken: what a whole list does not name is out too.
func unusableKind(reply *callReply) policy.ListKind {
	if reply.namesAll() {
		return policy.ListOutdated
	}
	return policy.ListPartial
}

// goesBack tells whether an answer is of an earlier version than its call asked from, or than the node had then.
func (d *discovery) goesBack(call *listCall, list serverList) bool {
	return d.listed && (!call.whole && list.rev < call.since || call.began.After(d.takenAt) && list.rev < d.rev)
}

// take hands on what an answer says, unless a later version has come meanwhile. It tells whether there
// was something.
func (d *discovery) take(list serverList) (changed bool) {
	if d.listed && list.rev < d.rev {
		return false
	}
	changed = !d.listed || list.rev > d.rev
	d.listed, d.rev, d.takenAt = true, list.rev, time.Now()
	d.log.taken(list, d.addr)
	origin := policy.Origin{Source: d.source, Version: list.rev}
	if list.all {
		d.tell(policy.ListWhole, origin, list)
		return changed
	}
	d.logChanges(list)
	d.tell(policy.ListChanges, origin, list)
	return changed
}

// logChanges logs the first few changed servers, and how many more there are.
func (d *discovery) logChanges(list serverList) {
	for _, t := range list.first {
		d.log.log.Info("server", "uid", t.UID, "endpoint", t.Endpoint, "state", t.State, "boot_ms", t.BootMs)
	}
	if more := len(list.entries) - len(list.first); more > 0 {
		d.log.log.Info("more servers changed", "count", more)
	}
}

// listError words why a call failed: its time limit, if that was it.
func listError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("list: %w", err)
}

// The words for a server's state.
const (
	stateInService = "in_service"
	stateDraining  = "terminating"
	stateGone      = "terminated"
)

// state reads a word for a server's state. One that is new to us gets no new work.
func state(word string) policy.ServerState {
	switch word {
	case stateInService:
		return policy.StateInService
	case stateGone:
		return policy.StateGone
	}
	return policy.StateDraining
}

// serverID names a server to the module: the same for a uid at all times, so
// nothing has to be remembered for servers that come and go.
func serverID(uid string) policy.ServerID {
	h := fnv.New64a()
	io.WriteString(h, uid)
	return policy.ServerID(h.Sum64())
}

// sourceID names a discovery service to the module: the same for an address at all times.
func sourceID(addr string) policy.SourceID {
	h := fnv.New64a()
	io.WriteString(h, addr)
	return policy.SourceID(h.Sum64())
}
