package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"otterstep/internal/wire"
	"otterstep/policy"
)

const testSettings = `{"Classes": [{"DeadlineMs": 1000, "Effect": "pure"}], "Limits": {"MaxAttempts": 2}}`

// eventRecord builds an event record of the given parts, one after the other, and pads it to its size.
func eventRecord(parts ...any) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		if err := binary.Write(&b, binary.BigEndian, p); err != nil {
			panic(err)
		}
	}
	return append(b.Bytes(), make([]byte, 48-b.Len())...)
}

// batchFrame builds a batch with number 7 at 5,000 ms.
func batchFrame(tail string, records ...[]byte) []byte {
	var b bytes.Buffer
	body := bytes.Join(records, nil)
	for _, p := range []any{uint32(len(body) + len(tail)), math.Float64bits(5000),
		uint32(len(records)), uint32(7)} {
		if err := binary.Write(&b, binary.BigEndian, p); err != nil {
			panic(err)
		}
	}
	return append(append(b.Bytes(), body...), tail...)
}

func instanceEvent(n uint16) []byte { return eventRecord(uint8(11), n) }

func openEvent(text string) []byte {
	return eventRecord(uint8(1), uint64(1), uint32(0), uint32(len(text)))
}

// actionCodes returns the action codes of all replies.
func actionCodes(t *testing.T, out []byte) (all []byte) {
	t.Helper()
	for len(out) > 0 {
		count, size := binary.BigEndian.Uint32(out), binary.BigEndian.Uint32(out[4:])
		for i := range int(count) {
			all = append(all, out[12+24*i])
		}
		out = out[12+size:]
	}
	return all
}

func TestRunServesABatchAndEndsCleanly(t *testing.T) {
	entry := "\x0a\x00\x00\x01\x1f\x90" +
		"\x00\x00\x00\x00\x00\x00\x01\x3f\x80\x00\x00" + strings.Repeat("\x00", 8)
	in := bytes.Join([][]byte{
		batchFrame(""),
		batchFrame(testSettings, instanceEvent(4), openEvent(testSettings)),
		batchFrame(entry, instanceEvent(4), eventRecord(uint8(2), uint8(2), uint64(1), uint32(0), uint32(1)),
			eventRecord(uint8(3), uint32(9), uint8(0), uint16(0), uint64(0), float64(800))),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); !bytes.Equal(got, []byte{68, 66, 72}) {
		t.Fatalf("action codes %v, want context, send, set timer", got)
	}
}

func TestRunReportsInvalidSettingsAsFatal(t *testing.T) {
	text := `{"Classes": [{"DeadlineMs": -5, "Effect": "pure"}]}`
	var out bytes.Buffer
	if err := run(bytes.NewReader(batchFrame(text, instanceEvent(4), openEvent(text))), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("Classes[0].Deadline")) ||
		!bytes.Contains(actionCodes(t, out.Bytes()), []byte{77}) {
		t.Fatalf("reply %q does not name the field or is not fatal", out.Bytes())
	}
}

func TestRunRejectsEventsForNoInstance(t *testing.T) {
	for name, in := range map[string][]byte{
		"never opened": batchFrame("", instanceEvent(4), eventRecord(uint8(7), uint64(0))),
		"not named":    batchFrame("", eventRecord(uint8(7), uint64(0))),
		"stopped": batchFrame(testSettings, instanceEvent(4), openEvent(testSettings), eventRecord(uint8(10)),
			eventRecord(uint8(7), uint64(0))),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), "batch 7, record") {
			t.Errorf("%s: error %v, want batch and record", name, err)
		}
	}
}

// A panic of a Balancer must not end the whole host without a report.
func TestPanicIsReportedAsFatal(t *testing.T) {
	h := host{instances: map[uint16]*policy.Balancer{4: nil}, currentInstance: 4}
	h.reply.Reset()
	h.reply.SetInstance(4)
	h.dispatchEvent(&wire.Batch{Number: 7}, &wire.Event{Code: wire.EventRequestArrived})
	var out bytes.Buffer
	if err := h.reply.WriteTo(bufio.NewWriter(&out), 7); err != nil {
		t.Fatal(err)
	}
	if got := actionCodes(t, out.Bytes()); !bytes.Equal(got, []byte{68, 77}) ||
		!bytes.Contains(out.Bytes(), []byte("panic")) {
		t.Fatalf("action codes %v, want context and fatal", got)
	}
}
