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
	minWatchWait = time.Millisecond

	// callPatience is how long a call is left out, beyond the time that discovery is asked to wait, for
	// its answer to begin, and how long an answer that has begun may pause. The module calls anew long
	// before: this only ends what will never be answered.
	callResponseTimeout = 30 * time.Second
	callConnectTimeout  = 10 * time.Second // for its connection to come up
	callIdleTimeout     = 30 * time.Second // a connection rests for so long, as one to an address of before

	// lastWords is how long a call that is given up is still read: what discovery has written by then
	// counts as told.
	abandonedReadTimeout = 50 * time.Millisecond
	// answerRest is how long the end of an answer is waited for behind a message that is whole, so that
	// its connection may be used again.
	bodyEndTimeout = 200 * time.Millisecond
	// restingMost bounds the connections that wait so; each holds a descriptor.
	maxCallsAwaitingBodyEnd = 4
)

// hostList is discovery's list of servers or the changes to it.
type listMessage struct {
	Version int64       `json:"rev"`
	IsWhole bool        `json:"all"`
	Entries []listEntry `json:"targets"`
}

type listEntry struct {
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
type discoveryClient struct {
	addr            string
	zones           []string
	clock           clock
	responseTimeout time.Duration
	callLog         *callLog
	onList          func(news listUpdate)               // hands a list on
	onCallEnd       func(end policy.CallEnd)            // tells the module of the end of a call
	onCallProgress  func(id policy.CallID, bytes int64) // and of the bytes of its answer so far
	gate            *sendGate

	client          http.Client
	commands        *callQueue
	addrChanges     chan string // new addresses of discovery
	replies         chan callReply
	callsInFlight   map[policy.CallID]*listCall
	awaitingBodyEnd []*listCall // the latest whose answers were whole before their end had come

	source     policy.SourceID // of the versions
	version    int64
	hasVersion bool      // rev is discovery's own
	epoch      int       // of its versions; those of another one say nothing
	acceptedAt time.Time // when rev was heard
}

// listNews is what discovery says of servers; endpoints go with the entries.
type listUpdate struct {
	kind      policy.ListKind
	origin    policy.Origin
	entries   []policy.Entry
	endpoints []string
}

// listCall is a call that is out.
type listCall struct {
	policy.Call
	source          policy.SourceID
	wantsWhole      bool  // it asks for the whole list
	since           int64 // or else for what is newer than this version
	epoch           int
	startedAt       time.Time
	cancel          context.CancelFunc
	deliver         func(callReply) // hands on what comes of it
	answerDelivered bool            // its answer was handed on before its end; for fetch alone
}

// callReply is what came of a call.
type callReply struct {
	call           *listCall
	list           serverList
	answerBytes    int64 // of the answer
	err            error
	isPartial      bool // the list holds lines of an answer that is not whole yet, and more will come
	allEntriesRead bool // it is a whole list, and all of its lines have come
	versionUnknown bool // their version is not known yet
	awaitsBodyEnd  bool // the answer is whole, and the end of its framing has not come

	reopenGate func() // the gate, which is shut since then to servers that the list takes out of service
}

// namesAll tells whether the servers are out of service that the reply does not name.
func (r *callReply) namesAllServers() bool {
	return r.err == nil && r.list.isWhole && (!r.isPartial || r.allEntriesRead)
}

func newDiscoveryClient(addr string, site wire.NodeSettings, c clock, log *slog.Logger) *discoveryClient {
	return &discoveryClient{
		addr: addr, source: sourceID(addr), gate: newSendGate(), zones: site.ZoneNames, clock: c, responseTimeout: callResponseTimeout, callLog: &callLog{logger: log, partialListLines: new(atomic.Int64)},
		client: http.Client{
			Transport: &http.Transport{
				DialContext: tcpDialer(callConnectTimeout).dialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: callIdleTimeout,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		commands: newCallQueue(), addrChanges: make(chan string),
		replies: make(chan callReply), callsInFlight: map[policy.CallID]*listCall{},
		onCallProgress: func(policy.CallID, int64) {},
	}
}

// follow has the list and the ends of calls handed on to a loop. It waits until they are in place: the
// module hears of the end of a call behind the list that it brought.
func (d *discoveryClient) attachTo(l *loop) {
	d.gate = l.gate
	d.onList = func(news listUpdate) {
		l.postAndWait(func() { l.applyListUpdate(news) })
	}
	d.onCallEnd = func(end policy.CallEnd) {
		l.postAndWait(func() { l.balancer.CallEnded(l.now, end) })
	}
	d.onCallProgress = func(id policy.CallID, bytes int64) {
		l.post(func() { l.balancer.CallProgress(l.now, id, bytes) })
	}
}

// start hands on the list that this node last had. Where it is a whole one, what has changed since is
// asked for: whole lists, called for by all nodes at once, would keep discovery busy for seconds.
func (d *discoveryClient) start(known listMessage, onRequest bool) {
	var list serverList
	for _, entry := range known.Entries {
		list.add(entry, d.zones, d.clock)
	}
	if onRequest && len(known.Entries) > 0 {
		d.version, d.hasVersion = known.Version, known.IsWhole
	}
	d.publish(policy.ListCached, policy.Origin{Source: d.source, Version: known.Version}, list)
}

// tell hands on what discovery says.
func (d *discoveryClient) publish(kind policy.ListKind, origin policy.Origin, list serverList) {
	d.onList(listUpdate{kind: kind, origin: origin, entries: list.entries, endpoints: list.endpoints})
}

// run carries out calls until ctx ends.
func (d *discoveryClient) run(ctx context.Context) {
	defer d.abandonAll()
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-d.addrChanges:
			d.changeAddr(addr)
		case <-d.commands.available:
			for _, command := range d.commands.takeAll() {
				d.execute(ctx, command)
			}
		case reply := <-d.replies:
			d.applyReply(reply)
			reply.reopenGate()
		}
	}
}

// move makes run go on at another address.
func (d *discoveryClient) requestAddrChange(ctx context.Context, addr string) {
	select {
	case d.addrChanges <- addr:
	case <-ctx.Done():
	}
}

// settle goes on at another address, which counts versions of its own.
func (d *discoveryClient) changeAddr(addr string) {
	d.abandonAll()
	d.addr, d.source, d.version = addr, sourceID(addr), 0
	d.discardVersion()
	d.publish(policy.ListAddressChanged, policy.Origin{}, serverList{})
}

// leave gives up all calls that are out.
func (d *discoveryClient) abandonAll() {
	for id := range d.callsInFlight {
		d.abandon(id)
	}
	d.client.CloseIdleConnections()
}

// giveUp ends a call. Of what still comes of it only what takes servers out of service counts.
func (d *discoveryClient) abandon(id policy.CallID) {
	if call := d.callsInFlight[id]; call != nil {
		time.AfterFunc(abandonedReadTimeout, call.cancel)
		delete(d.callsInFlight, id)
	}
}

// loseVersion has the next call ask for the whole list. What comes of those that are out can't be added
// to any.
func (d *discoveryClient) discardVersion() {
	d.hasVersion = false
	d.epoch++
}

// obey carries out what the module wants.
func (d *discoveryClient) execute(ctx context.Context, command callCommand) {
	if command.abandons {
		d.abandon(command.call.ID)
		return
	}
	runCtx := ctx
	ctx, cancel := context.WithCancel(runCtx)
	call := &listCall{
		deliver: func(reply callReply) { d.deliver(runCtx, reply) },
		Call:    command.call, source: d.source, wantsWhole: !d.hasVersion, since: d.version, epoch: d.epoch, startedAt: time.Now(), cancel: cancel,
	}
	d.callsInFlight[call.ID] = call
	d.callLog.callStarted(call, d.addr)
	callURL := d.callURL(call)
	go func() {
		defer cancel()
		if reply := d.fetch(ctx, call, callURL); !call.answerDelivered {
			call.deliver(reply)
		}
	}()
}

// deliver hands a reply to run, also one of a call that has ended meanwhile: it was written before. However long
// run is busy, no request goes out from now on to servers that the reply takes out of service.
func (d *discoveryClient) deliver(runCtx context.Context, reply callReply) {
	reply.list.readAt = time.Now()
	reply.reopenGate = d.gate.closeFor(reply.list.entries, reply.namesAllServers())
	select {
	case d.replies <- reply:
	case <-runCtx.Done():
		reply.reopenGate()
	}
}

// address is what a call gets.
func (d *discoveryClient) callURL(call *listCall) url.URL {
	callURL := url.URL{Scheme: "http", Host: d.addr, Path: "/discovery/hosts"}
	if !call.wantsWhole {
		callURL.RawQuery = "since=" + strconv.FormatInt(call.since, 10) +
			"&timeout_ms=" + strconv.FormatInt(max(call.WaitForChanges, minWatchWait).Milliseconds(), 10)
	}
	return callURL
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
func (d *discoveryClient) fetch(ctx context.Context, call *listCall, callURL url.URL) callReply {
	reply := callReply{call: call}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	reader := newDeadlineReader(call.WaitForChanges+d.responseTimeout, d.responseTimeout, func() { cancel(context.DeadlineExceeded) })
	defer reader.stop()
	reader.onProgress = func(bytes int) { d.onCallProgress(call.ID, int64(bytes)) }
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, callURL.String(), nil)
	if err != nil {
		reply.err = fmt.Errorf("list: %w", err)
		return reply
	}
	resp, err := d.client.Do(req)
	if err != nil {
		reply.err = callError(ctx, err)
		return reply
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		reply.err = fmt.Errorf("list: %w", &statusError{resp.StatusCode, resp.Status})
		return reply
	}
	reply.list, err = streamList(reader.wrap(resp.Body), d.zones, d.clock, listCallbacks{
		onOutOfService: func(lines serverList, versionKnown bool) {
			call.deliver(callReply{call: call, list: lines, isPartial: true, versionUnknown: !versionKnown})
		},
		onAllEntries: func(list serverList) {
			call.deliver(callReply{call: call, list: list, isPartial: true, allEntriesRead: true})
		},
		onComplete: func(list serverList) {
			call.answerDelivered = true
			time.AfterFunc(bodyEndTimeout, func() { cancel(nil) })
			call.deliver(callReply{call: call, list: list, answerBytes: int64(reader.bytesRead), awaitsBodyEnd: true})
		},
	})
	reply.answerBytes = int64(reader.bytesRead)
	if err != nil {
		reply.err = &unusableError{callError(ctx, err)}
	}
	return reply
}

// replied takes what came of a call, and tells the module.
func (d *discoveryClient) applyReply(reply callReply) {
	call := reply.call
	if reply.isPartial || d.callsInFlight[call.ID] != call { // more of it will come, or it was given up meanwhile
		d.acceptOutOfService(outOfServiceKind(&reply), reply)
		return
	}
	delete(d.callsInFlight, call.ID)
	if reply.awaitsBodyEnd {
		d.awaitBodyEnd(call)
	} else {
		call.cancel()
	}
	if reply.err == nil {
		kind := outOfServiceKind(&reply)
		if reply.err = d.validate(call, reply.list); reply.err != nil {
			d.acceptOutOfService(kind, reply)
		}
	}
	var status *statusError
	if errors.As(reply.err, &status) && status.code/100 == 4 && call.epoch == d.epoch {
		d.discardVersion() // discovery does not know it: start over
	}
	callEnd := policy.CallEnd{ID: call.ID, Result: policy.CallAnswered, UnusableBytes: reply.answerBytes}
	var unusable *unusableError
	switch {
	case errors.As(reply.err, &unusable):
		callEnd.Result = policy.CallUnusable
	case status != nil:
		callEnd.Result = policy.CallRefused
	case reply.err != nil:
		callEnd.Result = policy.CallFailed
	default:
		callEnd.Changed = d.accept(reply.list)
	}
	if reply.err == nil {
		d.callLog.callAnswered(d.version)
	} else {
		d.callLog.callFailed(call, reply.err, d.version)
	}
	d.onCallEnd(callEnd)
}

// rest leaves the end of an answer time to come; the oldest of several that are waited for is given up.
func (d *discoveryClient) awaitBodyEnd(call *listCall) {
	if d.awaitingBodyEnd = append(d.awaitingBodyEnd, call); len(d.awaitingBodyEnd) > maxCallsAwaitingBodyEnd {
		d.awaitingBodyEnd[0].cancel()
		d.awaitingBodyEnd = slices.Delete(d.awaitingBodyEnd, 0, 1)
	}
}

// check tells why an answer can't be taken. One that goes back behind the version that the node had when
// it was asked for comes from a discovery that counts anew, or once more from before.
func (d *discoveryClient) validate(call *listCall, list serverList) error {
	switch {
	case call.epoch != d.epoch:
		return errors.New("list: the version that it counts from is lost")
	case call.wantsWhole && !list.isWhole:
		return &unusableError{errors.New("list: changes in place of the whole list")}
	case d.versionRegressed(call, list):
		d.discardVersion()
		return &unusableError{fmt.Errorf("list: version %d after %d", list.version, d.version)}
	}
	return nil
}

// takeLeaving hands on what an answer takes out of service that is not whole, or can't be taken otherwise.
func (d *discoveryClient) acceptOutOfService(kind policy.ListKind, reply callReply) {
	list, call := reply.list, reply.call
	superseded := call.source == d.source && d.hasVersion && list.version < d.version && call.startedAt.Before(d.acceptedAt) &&
		!d.versionRegressed(call, list)
	if len(list.entries) == 0 && kind != policy.ListOutdated || superseded && !reply.versionUnknown {
		return
	}
	origin := policy.Origin{Source: call.source, Version: list.version}
	if reply.versionUnknown {
		origin.Version = policy.UnknownVersion
	}
	d.callLog.outOfServiceAccepted(list, call, origin.Version)
	d.publish(kind, origin, list)
}

// unusableKind is how an answer counts that can't be taken: what a whole list does not name is out too.
func outOfServiceKind(reply *callReply) policy.ListKind {
	if reply.namesAllServers() {
		return policy.ListOutdated
	}
	return policy.ListPartial
}

// goesBack tells whether an answer is of an earlier version than its call asked from, or than the node had then.
func (d *discoveryClient) versionRegressed(call *listCall, list serverList) bool {
	return d.hasVersion && (!call.wantsWhole && list.version < call.since || call.startedAt.After(d.acceptedAt) && list.version < d.version)
}

// take hands on what an answer says, unless a later version has come meanwhile. It tells whether there
// was something.
func (d *discoveryClient) accept(list serverList) (changed bool) {
	if d.hasVersion && list.version < d.version {
		return false
	}
	changed = !d.hasVersion || list.version > d.version
	d.hasVersion, d.version, d.acceptedAt = true, list.version, time.Now()
	d.callLog.listAccepted(list, d.addr)
	origin := policy.Origin{Source: d.source, Version: list.version}
	if list.isWhole {
		d.publish(policy.ListWhole, origin, list)
		return changed
	}
	d.logChanges(list)
	d.publish(policy.ListChanges, origin, list)
	return changed
}

// logChanges logs the first few changed servers, and how many more there are.
func (d *discoveryClient) logChanges(list serverList) {
	for _, entry := range list.firstEntries {
		d.callLog.logger.Info("server", "uid", entry.UID, "endpoint", entry.Endpoint, "state", entry.State, "boot_ms", entry.BootMs)
	}
	if more := len(list.entries) - len(list.firstEntries); more > 0 {
		d.callLog.logger.Info("more servers changed", "count", more)
	}
}

// listError words why a call failed: its time limit, if that was it.
func callError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("list: %w", err)
}

// The words for a server's state.
const (
	stateInService   = "in_service"
	stateTerminating = "terminating"
	stateTerminated  = "terminated"
)

// state reads a word for a server's state. One that is new to us gets no new work.
func parseState(name string) policy.ServerState {
	switch name {
	case stateInService:
		return policy.StateInService
	case stateTerminated:
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
