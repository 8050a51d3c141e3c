// Package wire reads and writes the frames of the simulator's binary protocol, and parses the settings. It
// converts event records to the types of package policy, and actions to records. It makes no decisions.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"otterstep/policy"
)

// The sizes of a frame's parts.
const (
	batchHeaderBytes = 20
	replyHeaderBytes = 12
	eventBytes       = 48
	actionBytes      = 24
	entryBytes       = 25
	maxBodyBytes     = 1 << 30
)

// EventCode is the kind of an event record.
type EventCode uint8

// The codes of events.
const (
	EventOpen               EventCode = 1
	EventListUpdated        EventCode = 2
	EventRequestArrived     EventCode = 3
	EventStreamStarted      EventCode = 4
	EventAttemptEnded       EventCode = 5
	EventClientDisconnected EventCode = 6
	EventTimerFired         EventCode = 7
	EventProbed             EventCode = 8
	EventPeerMessage        EventCode = 9
	EventStop               EventCode = 10
	EventInstance           EventCode = 11
)

// The codes of actions.
const (
	actionCancel    = 65
	actionSend      = 66
	actionContext   = 68
	actionRefuse    = 71
	actionSetTimer  = 72
	actionFail      = 73
	actionStartCall = 75
	actionFatal     = 77
)

// ErrFormat is wrapped by every error about a malformed frame.
var ErrFormat = errors.New("malformed frame")

// Batch is one frame of events. Its bytes are valid until the next Read.
type Batch struct {
	Now    time.Duration // time on the simulator's clock
	Number uint32        // number of the batch, which its reply repeats
	Count  int           // number of event records

	records []byte
	tail    []byte // data of variable length, which records refer to by offset
}

// Reader reads batches.
type Reader struct {
	input  *bufio.Reader
	body   []byte
	header [batchHeaderBytes]byte
	batch  Batch
}

// NewReader returns a Reader of the batches in r.
func NewReader(r io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(r, 1<<16)} }

// Read returns the next batch, or io.EOF if the input ends after a complete one.
func (r *Reader) Read() (*Batch, error) {
	if n, err := io.ReadFull(r.input, r.header[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("%w: header after batch %d: %w", ErrFormat, r.batch.Number, err)
	}
	size := binary.BigEndian.Uint32(r.header[0:])
	ms := math.Float64frombits(binary.BigEndian.Uint64(r.header[4:]))
	count := binary.BigEndian.Uint32(r.header[12:])
	r.batch.Number = binary.BigEndian.Uint32(r.header[16:])
	if size > maxBodyBytes || uint64(count)*eventBytes > uint64(size) {
		return nil, fmt.Errorf("%w: batch %d: %d records in %d bytes", ErrFormat, r.batch.Number, count, size)
	}
	if err := r.readBody(int(size)); err != nil {
		return nil, fmt.Errorf("%w: batch %d: body: %w", ErrFormat, r.batch.Number, err)
	}
	now, ok := millisecondsToDuration(ms)
	if !ok {
		return nil, fmt.Errorf("%w: batch %d: clock value %v ms is out of range", ErrFormat, r.batch.Number, ms)
	}
	r.batch.Now = now
	r.batch.Count = int(count)
	r.batch.records = r.body[:int(count)*eventBytes]
	r.batch.tail = r.body[int(count)*eventBytes:]
	return &r.batch, nil
}

// readBody reads a body of size bytes. Memory grows with the bytes that have arrived, not with the size
// that a header claims.
func (r *Reader) readBody(size int) error {
	const maxStep = 1 << 20
	r.body = r.body[:0]
	for len(r.body) < size {
		filled := len(r.body)
		n := min(maxStep, size-filled)
		if cap(r.body) < filled+n {
			r.body = append(r.body[:filled], make([]byte, n)...)
		}
		r.body = r.body[:filled+n]
		if _, err := io.ReadFull(r.input, r.body[filled:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// Event is one record of a batch. Code determines which fields are valid.
type Event struct {
	Code     EventCode
	Instance uint16          // number of the instance that the next events are for (EventInstance)
	Seed     uint64          // seed of the random choices (EventOpen)
	Settings []byte          // settings as JSON (EventOpen)
	ListKind policy.ListKind // kind of the list (EventListUpdated)
	Entries  []policy.Entry  // servers of the list (EventListUpdated); valid until the next DecodeEvent
	Request  policy.Request  // request of a client (EventRequestArrived)
	// Outcome is the outcome of an attempt (EventAttemptEnded). EventStreamStarted sets only its ID, Attempt
	// and Server, and EventClientDisconnected only its ID.
	Outcome    policy.Outcome
	TimerToken uint64 // token of SetTimer (EventTimerFired)
}

// statusByCode has the outcomes of attempts by the simulator's status codes.
var statusByCode = map[uint16]policy.Status{
	200: policy.OK, 502: policy.ServerError, 429: policy.Rejected, 408: policy.Timeout,
	521: policy.ConnectFailed, 520: policy.ConnectionReset, 444: policy.Cancelled, 409: policy.NotSent,
}

// DecodeEvent decodes record i of the batch into e.
func (b *Batch) DecodeEvent(i int, e *Event) error {
	rec := b.records[i*eventBytes : (i+1)*eventBytes]
	u16 := func(offset int) uint16 { return binary.BigEndian.Uint16(rec[offset:]) }
	u32 := func(offset int) uint32 { return binary.BigEndian.Uint32(rec[offset:]) }
	u64 := func(offset int) uint64 { return binary.BigEndian.Uint64(rec[offset:]) }
	f64 := func(offset int) float64 { return math.Float64frombits(u64(offset)) }
	fail := func(what string, v any) error {
		return fmt.Errorf("%w: batch %d, record %d: %s %v", ErrFormat, b.Number, i, what, v)
	}
	e.Code = EventCode(rec[0])
	switch e.Code {
	case EventInstance:
		e.Instance = u16(1)
	case EventOpen:
		e.Seed = u64(1)
		text, ok := b.tailItems(u32(9), u32(13), 1)
		if !ok {
			return fail("settings outside of the tail, at offset", u32(9))
		}
		e.Settings = text
	case EventListUpdated:
		if rec[1] > uint8(policy.ListFailed) {
			return fail("unknown list kind", rec[1])
		}
		e.ListKind = policy.ListKind(rec[1])
		raw, ok := b.tailItems(u32(10), u32(14), entryBytes)
		if !ok {
			return fail("entries outside of the tail, at offset", u32(10))
		}
		return decodeEntries(e, raw, fail)
	case EventRequestArrived:
		timeLeft, ok1 := millisecondsToDuration(f64(16))
		workHint, ok2 := millisecondsToDuration(f64(24))
		if !ok1 || !ok2 {
			return fail("time left or work hint of a request is out of range; time left in ms:", f64(16))
		}
		if rec[32]&1 == 0 {
			workHint = 0
		}
		e.Request = policy.Request{
			ID: policy.RequestID(u32(1)), Class: int(rec[5]), Tenant: int(u16(6)), Key: u64(8), TimeLeft: timeLeft, WorkHint: workHint,
		}
	case EventStreamStarted:
		e.Outcome = policy.Outcome{ID: policy.RequestID(u32(1)), Attempt: int(u16(5)), Server: serverID(rec[15:])}
	case EventAttemptEnded:
		status, ok := statusByCode[u16(5)]
		if !ok {
			return fail("unknown status", u16(5))
		}
		latency, ok := millisecondsToDuration(f64(16))
		if !ok {
			return fail("latency in ms is out of range:", f64(16))
		}
		e.Outcome = policy.Outcome{
			ID: policy.RequestID(u32(1)), Status: status, RequestDone: rec[7] != 0,
			Server: serverID(rec[8:]), Attempt: int(u16(14)), Latency: latency,
		}
	case EventClientDisconnected:
		e.Outcome = policy.Outcome{ID: policy.RequestID(u32(1))}
	case EventTimerFired:
		e.TimerToken = u64(1)
	case EventPeerMessage:
		if _, ok := b.tailItems(u32(5), u32(9), 1); !ok {
			return fail("message outside of the tail, at offset", u32(5))
		}
	case EventProbed, EventStop:
	default:
		return fail("unknown event code", rec[0])
	}
	return nil
}

// decodeEntries decodes the entries of a list into e.
func decodeEntries(e *Event, raw []byte, fail func(string, any) error) error {
	e.Entries = e.Entries[:0]
	for ; len(raw) > 0; raw = raw[entryBytes:] {
		if raw[12] > uint8(policy.StateDraining) {
			return fail("unknown server state", raw[12])
		}
		weight := float64(math.Float32frombits(binary.BigEndian.Uint32(raw[13:])))
		startedAt, ok := millisecondsToDuration(math.Float64frombits(binary.BigEndian.Uint64(raw[17:])))
		if !ok || !(weight >= 0) || math.IsInf(weight, 1) {
			return fail("weight or start of a server is out of range; weight:", weight)
		}
		e.Entries = append(e.Entries, policy.Entry{
			Server: serverID(raw), Zone: int(binary.BigEndian.Uint16(raw[6:])),
			Cell: int(binary.BigEndian.Uint16(raw[10:])), State: policy.ServerState(raw[12]), Weight: weight, StartedAt: startedAt,
		})
	}
	return nil
}

// tailItems returns count items of the given size in bytes, from an offset of the tail on. It returns false
// if they exceed the tail.
func (b *Batch) tailItems(offset, count uint32, size uint64) ([]byte, bool) {
	end := uint64(offset) + uint64(count)*size
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}

// serverID decodes a server ID of 6 bytes.
func serverID(b []byte) policy.ServerID {
	return policy.ServerID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:])))
}

// millisecondsToDuration converts milliseconds to a Duration. It returns false if they are NaN or out of
// range.
func millisecondsToDuration(ms float64) (time.Duration, bool) {
	const limit = float64(math.MaxInt64) / 4 / float64(time.Millisecond)
	if !(ms > -limit && ms < limit) {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

func durationToMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Reply collects the actions of one batch.
type Reply struct {
	frame           []byte // header and action records
	tail            []byte // data of variable length, which records refer to by offset
	recordCount     uint32
	contextInstance int    // instance of the last context record; -1: none
	instance        uint16 // instance that the next actions belong to
}

// Reset starts a new reply.
func (r *Reply) Reset() {
	if r.frame == nil {
		r.frame = make([]byte, 0, 1<<14)
	}
	r.frame = r.frame[:replyHeaderBytes]
	r.tail = r.tail[:0]
	r.recordCount = 0
	r.contextInstance = -1
}

// SetInstance sets the instance that the following actions belong to.
func (r *Reply) SetInstance(instance uint16) { r.instance = instance }

// appendAction appends an empty action record with a code and returns it. A context record precedes it if the
// instance has changed.
func (r *Reply) appendAction(code byte) []byte {
	if r.contextInstance != int(r.instance) {
		r.contextInstance = int(r.instance)
		binary.BigEndian.PutUint16(r.append(actionContext)[1:], r.instance)
	}
	return r.append(code)
}

// append appends an empty action record with a code and returns it.
func (r *Reply) append(code byte) []byte {
	var blank [actionBytes]byte
	r.frame = append(r.frame, blank[:]...)
	rec := r.frame[len(r.frame)-actionBytes:]
	rec[0] = code
	r.recordCount++
	return rec
}

// appendRequestAction appends an action record with the ID of its request and returns the record.
func (r *Reply) appendRequestAction(code byte, id policy.RequestID) []byte {
	rec := r.appendAction(code)
	binary.BigEndian.PutUint32(rec[1:], uint32(id))
	return rec
}

// Send implements policy.Host.
func (r *Reply) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	rec := r.appendRequestAction(actionSend, id)
	binary.BigEndian.PutUint32(rec[5:], uint32(server>>16))
	binary.BigEndian.PutUint16(rec[9:], uint16(server))
	putMilliseconds(rec[11:], timeout)
}

// Cancel implements policy.Host.
func (r *Reply) Cancel(id policy.RequestID, attempt int) {
	binary.BigEndian.PutUint16(r.appendRequestAction(actionCancel, id)[5:], uint16(attempt))
}

// CancelUnsent implements policy.Host. It does nothing: the simulator's attempts begin as they are sent, so
// that none is unsent.
func (r *Reply) CancelUnsent(policy.RequestID, int) {}

// SetWriteDeadline implements policy.Host. It does nothing: the simulator's attempts count as written when
// they are sent, so that none is late.
func (r *Reply) SetWriteDeadline(policy.RequestID, time.Duration) {}

// Refuse implements policy.Host.
func (r *Reply) Refuse(id policy.RequestID, retryAfter time.Duration, _ policy.Reason) {
	putMilliseconds(r.appendRequestAction(actionRefuse, id)[5:], retryAfter)
}

// Fail implements policy.Host.
func (r *Reply) Fail(id policy.RequestID, _ policy.Reason) { r.appendRequestAction(actionFail, id) }

// SetTimer implements policy.Host.
func (r *Reply) SetTimer(at time.Duration, token uint64) {
	rec := r.appendAction(actionSetTimer)
	putMilliseconds(rec[1:], at)
	binary.BigEndian.PutUint64(rec[9:], token)
}

// MarkReady implements policy.Host. It does nothing: the simulator's instances serve from their start.
func (r *Reply) MarkReady() {}

// StartCall implements policy.Host.
func (r *Reply) StartCall(policy.Call) { r.appendAction(actionStartCall)[1] = 1 }

// CancelCall implements policy.Host. It does nothing: the simulator's subscriptions are never cancelled.
func (r *Reply) CancelCall(policy.CallID) {}

// Fatal reports that the Balancer of the current instance has failed or cannot be created.
func (r *Reply) Fatal(text string) {
	rec := r.appendAction(actionFatal)
	binary.BigEndian.PutUint32(rec[1:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(rec[5:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the batch with the given number.
func (r *Reply) WriteTo(w *bufio.Writer, batch uint32) error {
	binary.BigEndian.PutUint32(r.frame[0:], r.recordCount)
	binary.BigEndian.PutUint32(r.frame[4:], uint32(len(r.frame)-replyHeaderBytes+len(r.tail)))
	binary.BigEndian.PutUint32(r.frame[8:], batch)
	if _, err := w.Write(r.frame); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	if _, err := w.Write(r.tail); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	return nil
}

func putMilliseconds(b []byte, d time.Duration) {
	binary.BigEndian.PutUint64(b, math.Float64bits(durationToMilliseconds(d)))
}
