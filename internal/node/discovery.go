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
	// minWatchWait is the time for which discovery is asked to wait for changes by a call that wants an answer
	// at once.
	minWatchWait = time.Millisecond

	// callResponseTimeout bounds the time until an answer begins, beyond the time for which discovery is asked
	// to wait, and each pause of an answer that has begun. The Balancer makes another call long before that, so
	// this only ends calls that will never be answered.
	callResponseTimeout = 30 * time.Second
	callConnectTimeout  = 10 * time.Second // limit on connecting to discovery
	callIdleTimeout     = 30 * time.Second // limit on an idle connection, such as one to a former address

	// abandonedReadTimeout is the time for which the answer to an abandoned call is still read: this node has to
	// know what discovery has written by then.
	abandonedReadTimeout = 50 * time.Millisecond
	// bodyEndTimeout is the time that the body of an answer may take to end after its message is complete.
	// Only a body that has ended leaves a connection that can be reused.
	bodyEndTimeout = 200 * time.Millisecond
	// maxCallsAwaitingBodyEnd bounds the calls that wait for the end of a body, as each holds a file descriptor.
	maxCallsAwaitingBodyEnd = 4
)

// listMessage is a message of discovery: the whole list of servers or changes to it.
type listMessage struct {
	Version int64       `json:"rev"`
	IsWhole bool        `json:"all"`
	Entries []listEntry `json:"targets"`
}

// listEntry is the entry of one server in a listMessage.
type listEntry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

// discoveryClient makes the calls of the Balancer to discovery, several at a time, and keeps the version of the list
// that the node has. Answers arrive in any order, and one of an older version brings nothing new.
type discoveryClient struct {
	addr            string
	zones           []string
	clock           clock
	responseTimeout time.Duration
	callLog         *callLog
	onList          func(update listUpdate)             // receives each list, and changes to it
	onCallEnd       func(end policy.CallEnd)            // notifies the Balancer that a call has ended
	onCallProgress  func(id policy.CallID, bytes int64) // notifies the Balancer how many bytes of an answer have arrived
	gate            *sendGate

	client          http.Client
	commands        *callQueue
	addrChanges     chan string // new addresses of discovery, for run
	replies         chan callReply
	callsInFlight   map[policy.CallID]*listCall
	awaitingBodyEnd []*listCall // calls with a complete message whose body has not ended, oldest first

	source     policy.SourceID // discovery service that counts the versions
	version    int64
	hasVersion bool      // whether version comes from the present source
	epoch      int       // count of discarded versions; answers to calls of an earlier epoch are rejected
	acceptedAt time.Time // time at which version was accepted
}

// listUpdate is what discovery says about servers. Each entry has an endpoint at the same index.
type listUpdate struct {
	kind      policy.ListKind
	origin    policy.Origin
	entries   []policy.Entry
	endpoints []string
}

// listCall is a call in flight.
type listCall struct {
	policy.Call
	source          policy.SourceID
	wantsWhole      bool  // the call asks for the whole list
	since           int64 // version since which a call for changes asks
	epoch           int   // epoch of the client when the call began
	startedAt       time.Time
	cancel          context.CancelFunc
	deliver         func(callReply) // passes a reply to run
	answerDelivered bool            // the answer was passed on before its body ended; only fetch uses this
}

// callReply is what a call has brought: a part of its answer, the whole answer or an error.
type callReply struct {
	call           *listCall
	list           serverList
	answerBytes    int64 // size of the answer
	err            error
	isPartial      bool // the list holds entries of an answer of which more is to come
	allEntriesRead bool // the answer is a whole list, and all of its entries have been read
	versionUnknown bool // the version of the entries has not been read yet
	awaitsBodyEnd  bool // the message is complete, and the body has not ended

	reopenGate func() // opens the gate again for the servers that the list takes out of service
}

// namesAllServers reports whether servers that the reply does not name are out of service.
func (r *callReply) namesAllServers() bool {
	return r.err == nil && r.list.isWhole && (!r.isPartial || r.allEntriesRead)
}

// newDiscoveryClient returns a client of the discovery service at an address. It makes no call until run is called.
func newDiscoveryClient(addr string, settings wire.NodeSettings, c clock, log *slog.Logger) *discoveryClient {
	return &discoveryClient{
		addr: addr, source: sourceID(addr), gate: newSendGate(), zones: settings.ZoneNames, clock: c,
		responseTimeout: callResponseTimeout, callLog: &callLog{logger: log, partialListEntries: new(atomic.Int64)},
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

// attachTo makes the client pass lists and the ends of calls to a loop. Each waits until the loop has handled
// it, so the Balancer is notified of the end of a call after the list that the call brought.
func (d *discoveryClient) attachTo(l *loop) {
	d.gate = l.gate
	d.onList = func(update listUpdate) {
		l.postAndWait(func() { l.applyListUpdate(update) })
	}
	d.onCallEnd = func(end policy.CallEnd) {
		l.postAndWait(func() { l.balancer.CallEnded(l.now, end) })
	}
	d.onCallProgress = func(id policy.CallID, bytes int64) {
		l.post(func() { l.balancer.CallProgress(l.now, id, bytes) })
	}
}

// start publishes the list that this node last had. If the list comes on request and the known one is whole,
// the first call asks for the changes since: whole lists, requested by all nodes at once, would keep discovery
// busy for seconds.
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

// publish passes on what discovery says about servers.
func (d *discoveryClient) publish(kind policy.ListKind, origin policy.Origin, list serverList) {
	d.onList(listUpdate{kind: kind, origin: origin, entries: list.entries, endpoints: list.endpoints})
}

// run executes the commands of the Balancer and applies the replies to its calls until ctx ends.
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

// requestAddrChange makes run continue at another address.
func (d *discoveryClient) requestAddrChange(ctx context.Context, addr string) {
	select {
	case d.addrChanges <- addr:
	case <-ctx.Done():
	}
}

// changeAddr continues at another address, which counts its own versions.
func (d *discoveryClient) changeAddr(addr string) {
	d.abandonAll()
	d.addr, d.source, d.version = addr, sourceID(addr), 0
	d.discardVersion()
	d.publish(policy.ListAddressChanged, policy.Origin{}, serverList{})
}

// abandonAll abandons all calls in flight.
func (d *discoveryClient) abandonAll() {
	for id := range d.callsInFlight {
		d.abandon(id)
	}
	d.client.CloseIdleConnections()
}

// abandon ends a call. Of what its answer still brings, only what takes servers out of service counts.
func (d *discoveryClient) abandon(id policy.CallID) {
	if call := d.callsInFlight[id]; call != nil {
		time.AfterFunc(abandonedReadTimeout, call.cancel)
		delete(d.callsInFlight, id)
	}
}

// discardVersion makes the next call ask for the whole list. The calls in flight then bring changes to a list
// that the node no longer follows, so their answers are rejected.
func (d *discoveryClient) discardVersion() {
	d.hasVersion = false
	d.epoch++
}

// execute starts or abandons a call for the Balancer.
func (d *discoveryClient) execute(ctx context.Context, command callCommand) {
	if command.abandons {
		d.abandon(command.call.ID)
		return
	}
	runCtx := ctx
	ctx, cancel := context.WithCancel(runCtx)
	call := &listCall{
		deliver: func(reply callReply) { d.deliver(runCtx, reply) },
		Call:    command.call, source: d.source, wantsWhole: !d.hasVersion, since: d.version,
		epoch: d.epoch, startedAt: time.Now(), cancel: cancel,
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

// deliver passes a reply to run, even if its call has ended in the meantime, as discovery wrote the reply before
// that. From now on no request goes to servers that the reply takes out of service, however long run is busy.
func (d *discoveryClient) deliver(runCtx context.Context, reply callReply) {
	reply.list.readAt = time.Now()
	reply.reopenGate = d.gate.closeFor(reply.list.entries, reply.namesAllServers())
	select {
	case d.replies <- reply:
	case <-runCtx.Done():
		reply.reopenGate()
	}
}

// callURL returns the URL that a call requests.
func (d *discoveryClient) callURL(call *listCall) url.URL {
	callURL := url.URL{Scheme: "http", Host: d.addr, Path: "/discovery/hosts"}
	if !call.wantsWhole {
		callURL.RawQuery = "since=" + strconv.FormatInt(call.since, 10) +
			"&timeout_ms=" + strconv.FormatInt(max(call.WaitForChanges, minWatchWait).Milliseconds(), 10)
	}
	return callURL
}

// statusError reports an answer of discovery with a status other than 200.
type statusError struct {
	code   int
	status string
}

func (e *statusError) Error() string { return "status " + e.status }

// unusableError reports an answer of discovery that cannot be used.
type unusableError struct{ err error }

func (e *unusableError) Error() string { return e.err.Error() }
func (e *unusableError) Unwrap() error { return e.err }

// fetch makes a call and reads its answer. It runs on a goroutine of its own and uses only fields of the client
// that do not change.
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
		onOutOfService: func(found serverList, versionKnown bool) {
			call.deliver(callReply{call: call, list: found, isPartial: true, versionUnknown: !versionKnown})
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

// applyReply applies a reply. If the reply ends its call, the Balancer is notified.
func (d *discoveryClient) applyReply(reply callReply) {
	call := reply.call
	if reply.isPartial || d.callsInFlight[call.ID] != call { // more of the answer is to come, or the call was abandoned
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
		d.discardVersion() // discovery does not know the version that the call named
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

// awaitBodyEnd leaves the body of an answer time to end. Beyond maxCallsAwaitingBodyEnd, the oldest call that
// waits is cancelled.
func (d *discoveryClient) awaitBodyEnd(call *listCall) {
	if d.awaitingBodyEnd = append(d.awaitingBodyEnd, call); len(d.awaitingBodyEnd) > maxCallsAwaitingBodyEnd {
		d.awaitingBodyEnd[0].cancel()
		d.awaitingBodyEnd = slices.Delete(d.awaitingBodyEnd, 0, 1)
	}
}

// validate returns an error if an answer cannot be accepted. An answer of an earlier version than the node had
// when it made the call comes from a discovery that has restarted its count of versions, or is a repeated old
// answer.
func (d *discoveryClient) validate(call *listCall, list serverList) error {
	switch {
	case call.epoch != d.epoch:
		return errors.New("list: the call began before the node discarded its version")
	case call.wantsWhole && !list.isWhole:
		return &unusableError{errors.New("list: changes in place of the whole list")}
	case d.versionRegressed(call, list):
		d.discardVersion()
		return &unusableError{fmt.Errorf("list: version %d after %d", list.version, d.version)}
	}
	return nil
}

// acceptOutOfService publishes what takes servers out of service in an answer that is incomplete or that cannot be
// accepted otherwise.
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

// outOfServiceKind returns the kind of update that an answer gives if only what takes servers out of service
// counts. A whole list also takes out the servers that it does not name.
func outOfServiceKind(reply *callReply) policy.ListKind {
	if reply.namesAllServers() {
		return policy.ListOutdated
	}
	return policy.ListPartial
}

// versionRegressed reports whether an answer is of an earlier version than the one since which its call asked, or
// than the one that the node had when the call began.
func (d *discoveryClient) versionRegressed(call *listCall, list serverList) bool {
	return d.hasVersion && (!call.wantsWhole && list.version < call.since || call.startedAt.After(d.acceptedAt) && list.version < d.version)
}

// accept publishes an answer, unless a later version has been accepted in the meantime. It reports whether the
// answer brought a new version.
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

// logChanges logs the first few changed servers and the number of further ones.
func (d *discoveryClient) logChanges(list serverList) {
	for _, entry := range list.firstEntries {
		d.callLog.logger.Info("server", "uid", entry.UID, "endpoint", entry.Endpoint, "state", entry.State, "boot_ms", entry.BootMs)
	}
	if more := len(list.entries) - len(list.firstEntries); more > 0 {
		d.callLog.logger.Info("more servers changed", "count", more)
	}
}

// callError describes why a call failed. If the context has a cause, such as a time limit, that is the reason.
func callError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return fmt.Errorf("list: %w", err)
}

// The states of a server as discovery writes them.
const (
	stateInService   = "in_service"
	stateTerminating = "terminating"
	stateTerminated  = "terminated"
)

// parseState converts discovery's name of a server's state. A server in an unknown state gets no new work.
func parseState(name string) policy.ServerState {
	switch name {
	case stateInService:
		return policy.StateInService
	case stateTerminated:
		return policy.StateGone
	}
	return policy.StateDraining
}

// serverID returns the Balancer's id of a server. It depends on the uid alone, so the node keeps no table of servers
// that come and go.
func serverID(uid string) policy.ServerID {
	h := fnv.New64a()
	io.WriteString(h, uid)
	return policy.ServerID(h.Sum64())
}

// sourceID returns the Balancer's id of a discovery service. It depends on the address alone.
func sourceID(addr string) policy.SourceID {
	h := fnv.New64a()
	io.WriteString(h, addr)
	return policy.SourceID(h.Sum64())
}
