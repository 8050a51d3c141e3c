// Package wire reads and writes the frames of the simulator's binary wire. It
// decides nothing: it turns event records into the types of package policy and
// actions into records.
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

// The sizes of a frame's parts, in bytes.
const (
	batchHeaderBytes = 20
	replyHeaderBytes = 12
	eventBytes       = 48
	actionBytes      = 24
	entryBytes       = 25
	maxBodyBytes     = 1 << 30
)

// Code tells what an event record is.
type EventCode uint8

// The events.
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

// The actions.
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

// ErrFormat is wrapped by every complaint about a malformed frame.
var ErrFormat = errors.New("malformed frame")

// Batch is one frame of events. Its bytes are valid until the next Read.
type Batch struct {
	Now    time.Duration
	Number uint32
	Count  int

	records []byte
	tail    []byte
}

// Reader reads batches.
type Reader struct {
	input  *bufio.Reader
	body   []byte
	header [batchHeaderBytes]byte
	batch  Batch
}

// NewReader reads batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(r, 1<<16)} }

// Read returns the next batch. A clean end of input gives io.EOF.
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
		return nil, fmt.Errorf("%w: batch %d: clock %v", ErrFormat, r.batch.Number, ms)
	}
	r.batch.Now = now
	r.batch.Count = int(count)
	r.batch.records = r.body[:int(count)*eventBytes]
	r.batch.tail = r.body[int(count)*eventBytes:]
	return &r.batch, nil
}

// fill reads size bytes into the body; memory grows with what has come in, not
// with what a header claims.
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

// Event is one record of a batch. Which fields count depends on Code.
type Event struct {
	Code       EventCode
	Instance   uint16 // Instance
	Seed       uint64 // Open
	Settings   []byte // Open: JSON
	ListKind   policy.ListKind
	Entries    []policy.Entry // Members; valid until the next Event
	Request    policy.Request
	Outcome    policy.Outcome // Outcome, Started (ID, Attempt), Left (ID)
	TimerToken uint64         // Timer
}

var statusByCode = map[uint16]policy.Status{
	200: policy.OK, 502: policy.ServerError, 429: policy.Rejected, 408: policy.Timeout,
	521: policy.ConnectFailed, 520: policy.ConnectionReset, 444: policy.Cancelled, 409: policy.NotSent,
}

// Event decodes record i of the batch into e.
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
			return fail("settings out of the tail:", u32(9))
		}
		e.Settings = text
	case EventListUpdated:
		if rec[1] > uint8(policy.ListFailed) {
			return fail("list kind", rec[1])
		}
		e.ListKind = policy.ListKind(rec[1])
		raw, ok := b.tailItems(u32(10), u32(14), entryBytes)
		if !ok {
			return fail("entries out of the tail:", u32(10))
		}
		return decodeEntries(e, raw, fail)
	case EventRequestArrived:
		timeLeft, ok1 := millisecondsToDuration(f64(16))
		workHint, ok2 := millisecondsToDuration(f64(24))
		if !ok1 || !ok2 {
			return fail("time of a query:", f64(16))
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
			return fail("status", u16(5))
		}
		latency, ok := millisecondsToDuration(f64(16))
		if !ok {
			return fail("latency", f64(16))
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
			return fail("message out of the tail:", u32(5))
		}
	case EventProbed, EventStop:
	default:
		return fail("unknown event code", rec[0])
	}
	return nil
}

func decodeEntries(e *Event, raw []byte, fail func(string, any) error) error {
	e.Entries = e.Entries[:0]
	for ; len(raw) > 0; raw = raw[entryBytes:] {
		if raw[12] > uint8(policy.StateDraining) {
			return fail("server state", raw[12])
		}
		weight := float64(math.Float32frombits(binary.BigEndian.Uint32(raw[13:])))
		startedAt, ok := millisecondsToDuration(math.Float64frombits(binary.BigEndian.Uint64(raw[17:])))
		if !ok || !(weight >= 0) || math.IsInf(weight, 1) {
			return fail("server weight or start:", weight)
		}
		e.Entries = append(e.Entries, policy.Entry{
			Server: serverID(raw), Zone: int(binary.BigEndian.Uint16(raw[6:])),
			Cell: int(binary.BigEndian.Uint16(raw[10:])), State: policy.ServerState(raw[12]), Weight: weight, StartedAt: startedAt,
		})
	}
	return nil
}

// slice gives count items of the tail.
func (b *Batch) tailItems(offset, count uint32, size uint64) ([]byte, bool) {
	end := uint64(offset) + uint64(count)*size
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}

func serverID(b []byte) policy.ServerID {
	return policy.ServerID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:])))
}

// duration turns milliseconds into a Duration, unless they are no number or
// too many for one.
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
	frame           []byte
	tail            []byte
	recordCount     uint32
	contextInstance int // instance of the last context record; -1: none
	instance        uint16
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

// For names the instance that the actions from here on belong to.
func (r *Reply) SetInstance(instance uint16) { r.instance = instance }

// record appends an action record, preceded by its context where that changes.
func (r *Reply) appendAction(code byte) []byte {
	if r.contextInstance != int(r.instance) {
		r.contextInstance = int(r.instance)
		binary.BigEndian.PutUint16(r.append(actionContext)[1:], r.instance)
	}
	return r.append(code)
}

func (r *Reply) append(code byte) []byte {
	var blank [actionBytes]byte
	r.frame = append(r.frame, blank[:]...)
	rec := r.frame[len(r.frame)-actionBytes:]
	rec[0] = code
	r.recordCount++
	return rec
}

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
	putMs(rec[11:], timeout)
}

// Cancel implements policy.Host.
func (r *Reply) Cancel(id policy.RequestID, attempt int) {
	binary.BigEndian.PutUint16(r.appendRequestAction(actionCancel, id)[5:], uint16(attempt))
}

// Withdraw implements policy.Host. The simulator's attempts begin as they are sent: there is
// nothing to take back.
func (r *Reply) CancelUnsent(policy.RequestID, int) {}

// WriteBy implements policy.Host. The simulator's attempts count as written as they are sent:
// none is late.
func (r *Reply) SetWriteDeadline(policy.RequestID, time.Duration) {}

// Refuse implements policy.Host.
func (r *Reply) Refuse(id policy.RequestID, retryAfter time.Duration, _ policy.Reason) {
	putMs(r.appendRequestAction(actionRefuse, id)[5:], retryAfter)
}

// Fail implements policy.Host.
func (r *Reply) Fail(id policy.RequestID, _ policy.Reason) { r.appendRequestAction(actionFail, id) }

// SetTimer implements policy.Host.
func (r *Reply) SetTimer(at time.Duration, token uint64) {
	rec := r.appendAction(actionSetTimer)
	putMs(rec[1:], at)
	binary.BigEndian.PutUint64(rec[9:], token)
}

// Ready implements policy.Host. The simulator's instances serve from their start.
func (r *Reply) MarkReady() {}

// CallList implements policy.Host.
func (r *Reply) StartCall(policy.Call) { r.appendAction(actionStartCall)[1] = 1 }

// EndCall implements policy.Host. A subscription is not ended.
func (r *Reply) CancelCall(policy.CallID) {}

// Fatal says that the decision code has failed.
func (r *Reply) Fatal(text string) {
	rec := r.appendAction(actionFatal)
	binary.BigEndian.PutUint32(rec[1:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(rec[5:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the reply to the given batch.
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

func putMs(b []byte, d time.Duration) {
	binary.BigEndian.PutUint64(b, math.Float64bits(durationToMilliseconds(d)))
}
