// Package policy makes the decisions of an HTTP load balancer that runs as a
// small bank of nodes: which server gets a request, when another attempt is
// made, what is refused, and how a list of servers is followed.
//
// A Balancer is driven by events (one method each) and answers by calling the
// actions of its Host. It has no clock, no goroutine and no global state: time
// is what the events say, and the same events with the same seed give the same
// actions. It is not safe for concurrent use: one caller at a time.
package policy

import "time"

// RequestID names a client request; the host chooses it and never repeats it.
type RequestID uint32

// ServerID names a server. It is opaque: equal ids mean the same server.
type ServerID uint64

// Effect tells what a repeat of a request would do.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated freely
	IdempotentByKey                    // repeats are dropped inside Class.Scope for Class.Window
	NonIdempotent                      // must never run twice
)

// Scope is the group of servers that drops the repeats of a keyed request.
type DedupScope uint8

// The scopes of a keyed class.
const (
	DedupAllServers DedupScope = iota // every server
	DedupZone                         // the servers of one zone
	DedupCell                         // the servers of one cell
)

// Class is a class of requests.
type Class struct {
	Deadline         time.Duration // a client's whole patience, over all of its tries
	LatencyTarget    time.Duration // an answer inside it earns its full worth; 0: the deadline
	TargetWorkFactor float64       // if set, this multiple of the request's own work is added to the aim
	LateValueShare   float64       // share of the worth that a later answer earns
	Value            float64       // worth of one request, or of one unit of work
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped, from the first send
	Streaming        bool          // the answer is a stream; see Balancer.Started
}

// Tenant is a party with a share in the fleet.
type Tenant struct {
	QuotaPerSecond float64 // requests a second, over all nodes; 0: no limit
}

// Limits is what a site permits.
type Limits struct {
	MaxAttempts   int           // attempts for one request
	AllowHedging  bool          // two attempts of a request may be out together
	AllowCancel   bool          // Host.Cancel may be used
	MaxRetryAfter time.Duration // the longest wait that clients heed; 0: they heed none
}

// Rules holds the figures of the rules that a node keeps on its own.
type Rules struct {
	ColdCapacityShare float64       // a server starts at this share of its capacity or above
	ColdDuration      time.Duration // and is warm after this at most
	OverloadMultiple  float64       // a cold server sent more than this multiple of its present capacity
	OverloadDuration  time.Duration // for this long falls over
	MaxCallInterval   time.Duration // with ListAsked: the longest time without asking
	DrainGrace        time.Duration // a server told to drain may be sent to for so long
}

// Prices is what a site takes off its service, as shares of it.
type Penalties struct {
	WastedWork  float64 // for work that served nothing, as much as all that was asked for
	LateFailure float64 // for all requests failing after their aim
}

// Settings is what an instance is told at its start.
type Settings struct {
	NodeCount           int // nodes of this tier, this one included
	NodeIndex           int // the number of this one, from 0, the same after a restart; below 0: not known
	Zone                int // where this node stands
	Classes             []Class
	Tenants             []Tenant
	OverQuotaValueShare float64 // worth of a request beyond its tenant's share, as a share of its class's
	ValueByWork         bool    // worth counts for each unit of work instead of for each request
	KeyAffinity         bool    // a server that met a key lately does less work for it
	ListOnRequest       bool    // the server list comes only to those who watch it; else it is pushed
	LongPolling         bool    // calls for the list end after a while and are made anew, see Call; else there is a subscription
	ConfirmCachedList   bool    // a list that was kept from before the start serves once it is confirmed; see Host.Ready
	Limits              Limits
	Rules               Rules
	Penalties           Penalties
}

// State is what the list says of a server.
type ServerState uint8

// The states of a listed server.
const (
	StateGone ServerState = iota
	StateInService
	StateDraining
)

// Entry is a line of the server list.
type Entry struct {
	Server    ServerID
	Zone      int
	Cell      int
	State     ServerState
	Weight    float64       // rough size, comparable across servers; 0: unknown
	StartedAt time.Duration // time of its latest start, as far as clocks agree; 0: long past
}

// ListKind tells how to read a Members event.
type ListKind uint8

// The kinds of a list event.
const (
	ListChanges        ListKind = iota // changed entries only
	ListWhole                          // all servers
	ListCached                         // all servers as known some time ago
	ListFailed                         // a call failed or the watch broke; the old list stays
	ListSilent                         // a subscription has fallen silent; the old list stays
	ListAddressChanged                 // discovery has another address from now on; the old list stays until that one answers
	ListPartial                        // lines of an answer that is not whole, or can't be taken: only what they take out of service counts
	ListOutdated                       // all servers as of an earlier version than before: the same, and what it does not name is out
)

// CallID names a call to discovery. The module chooses it.
type CallID uint32

// CallReason tells why discovery is called.
type CallReason uint8

// The reasons of a call.
const (
	CallReasonStart          CallReason = iota // the node has started
	CallReasonNext                             // the last call was answered
	CallReasonAddressChanged                   // discovery has another address
	CallReasonRetry                            // the last call failed, or the watch broke
	CallReasonLate                             // the last call is late
)

var callReasonNames = [...]string{
	CallReasonStart: "start", CallReasonNext: "next", CallReasonAddressChanged: "reload", CallReasonRetry: "retry", CallReasonLate: "late",
}

// String names a reason, for logs.
func (r CallReason) String() string { return callReasonNames[r] }

// Call is a call to discovery for the list: for what is newer than the version that the node has, or for
// the whole list where it has none.
type Call struct {
	ID             CallID
	Reason         CallReason
	WaitForChanges time.Duration // discovery is asked to wait so long for changes; 0: to answer at once
	ListDeadline   time.Duration // what the node has not heard counts as told from then on; 0: it has had no answer
}

// CallResult tells how a call ended.
type CallResult uint8

// The results of a call.
const (
	CallAnswered CallResult = iota // with a list or changes, which a Members event has told
	CallFailed                     // its connection broke, or never came up
	CallRefused                    // with a status that is no answer
	CallUnusable                   // with an answer that can't be taken
)

// CallEnd is the end of a call.
type CallEnd struct {
	ID            CallID
	Result        CallResult
	Changed       bool  // it was answered, and not only with the end of its time
	UnusableBytes int64 // of an answer that can't be taken
}

// Request is a client's request as it comes in.
type Request struct {
	ID       RequestID
	Class    int
	Tenant   int
	Key      uint64        // equal keys: related requests; 0: none
	TimeLeft time.Duration // the client gives this try up after so long
	WorkHint time.Duration // rough cost in work; 0: unknown
}

// Status tells how an attempt ended.
type Status uint8

// The ends of an attempt.
const (
	OK              Status = iota // served
	ServerError                   // the server answered with an error; may have run
	Rejected                      // turned away unseen; has not run
	Timeout                       // no answer in time; may have run or run still
	ConnectFailed                 // no connection; has not run
	ConnectionReset               // the connection dropped; may have run
	Cancelled                     // cancelled; may have run
	NotSent                       // never sent; has not run
)

var statusNames = [...]string{
	OK: "ok", ServerError: "error", Rejected: "full", Timeout: "timeout", ConnectFailed: "connect failed",
	ConnectionReset: "reset", Cancelled: "cancelled", NotSent: "moot",
}

// String names a status, for logs.
func (s Status) String() string { return statusNames[s] }

// Reason tells why a request is refused or failed, for logs.
type Reason uint8

// The reasons of a refusal or failure.
const (
	UnknownClass Reason = iota // its class is not in the settings
	NotReady                   // the list is not confirmed yet
	Overload                   // admission control sheds it
	NoServer                   // no server is listed, or the breakers of all are open
	TooLate                    // an answer could not be in time any more
	NoRetry                    // its attempts came to nothing and no further one is possible
)

var reasonNames = [...]string{
	UnknownClass: "unknown class", NotReady: "not ready", Overload: "overload", NoServer: "no server", TooLate: "too late", NoRetry: "no retry",
}

// String names a reason, for logs.
func (r Reason) String() string { return reasonNames[r] }

// Outcome reports the end of one attempt. Each Host.Send is followed by one.
type Outcome struct {
	ID          RequestID
	Attempt     int // 0, 1, 2 ... in the order of the sends for this request
	Server      ServerID
	Status      Status
	RequestDone bool          // the request has its final answer, by this outcome or before
	Latency     time.Duration // time since the send
}

// Host carries out the actions of a Balancer. Calls come from within the
// Balancer's own methods; a Host must not call back into it.
type Host interface {
	// Send starts an attempt. A timeout of 0 lasts until the client gives up.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// WriteBy sets an end to what the attempts of a request rest on, those to come and those
	// that are out: a connection may come up long after the decision, and one whose last byte is
	// not written by then is taken back. 0: there is no such end.
	SetWriteDeadline(id RequestID, at time.Duration)
	// Cancel stops waiting for an attempt that is out.
	Cancel(id RequestID, attempt int)
	// Withdraw takes back an attempt that is out and not begun, as one that waits for its
	// connection: it ends as Moot. One that has begun goes on. It needs no permission.
	CancelUnsent(id RequestID, attempt int)
	// Refuse is a final answer and a promise: trying again does no harm.
	Refuse(id RequestID, retryAfter time.Duration, reason Reason)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID, reason Reason)
	// SetTimer asks for a Timer event at the given time, after the present event.
	SetTimer(at time.Duration, token uint64)
	// Ready tells, once, that clients may come: with ConfirmList once discovery has confirmed the list or
	// too long a time has passed without, else with the first list.
	MarkReady()
	// CallList calls discovery for the list: with LongPoll by a call that ends with Balancer.CallEnded,
	// beside those that are out; else by a subscription, whose end is a Members event.
	StartCall(call Call)
	// EndCall gives up a call that is out; no word of it is wanted any more.
	CancelCall(id CallID)
}
