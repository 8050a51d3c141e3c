// Command wirehost runs Balancers for the simulator, one in each instance. It reads batches of events from
// standard input and writes one reply to each batch to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"otterstep/internal/wire"
	"otterstep/policy"
)

func main() {
	debug.SetGCPercent(800) // the live heap is small, and the cost of garbage collections is measured
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run reads batches and writes the reply to each, until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint16]*policy.Balancer{}}
	reader, writer := wire.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, wire.ErrFormat) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset()
		if err := h.runBatch(batch); err != nil {
			return err
		}
		if err := h.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
	}
}

// host holds the Balancers of the simulator's instances. They share only the buffer of the reply.
type host struct {
	instances       map[uint16]*policy.Balancer // Balancers of the open instances, by number
	currentInstance uint16                      // number of the instance that events go to
	hasInstance     bool                        // whether the batch has named an instance
	reply           wire.Reply
	event           wire.Event
}

// runBatch passes the events of a batch to their instances.
func (h *host) runBatch(batch *wire.Batch) error {
	h.hasInstance = false
	for i := range batch.Count {
		if err := batch.DecodeEvent(i, &h.event); err != nil {
			return err
		}
		e := &h.event
		if e.Code == wire.EventInstance {
			h.currentInstance, h.hasInstance = e.Instance, true
			h.reply.SetInstance(e.Instance)
			continue
		}
		if !h.hasInstance || (e.Code != wire.EventOpen && h.instances[h.currentInstance] == nil) {
			return fmt.Errorf("%w: batch %d, record %d: event %d for an instance that is not open",
				wire.ErrFormat, batch.Number, i, e.Code)
		}
		h.dispatchEvent(batch, e)
	}
	return nil
}

// dispatchEvent passes one event to the current instance. It ignores EventProbed and EventPeerMessage, which no
// Balancer handles. It reports a panic of the Balancer as a fatal action.
func (h *host) dispatchEvent(batch *wire.Batch, e *wire.Event) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			fmt.Fprintf(os.Stderr, "wirehost: batch %d: panic: %v\n%s", batch.Number, panicValue, debug.Stack())
			h.reply.Fatal(fmt.Sprintf("panic: %v", panicValue))
		}
	}()
	balancer := h.instances[h.currentInstance]
	switch e.Code {
	case wire.EventOpen:
		h.openInstance(e)
	case wire.EventStop:
		delete(h.instances, h.currentInstance)
	case wire.EventListUpdated:
		balancer.ListUpdated(batch.Now, e.ListKind, e.Entries)
	case wire.EventRequestArrived:
		balancer.RequestArrived(batch.Now, e.Request)
	case wire.EventStreamStarted:
		balancer.StreamStarted(batch.Now, e.Outcome.ID, e.Outcome.Attempt)
	case wire.EventAttemptEnded:
		balancer.AttemptEnded(batch.Now, e.Outcome)
	case wire.EventClientDisconnected:
		balancer.ClientDisconnected(batch.Now, e.Outcome.ID)
	case wire.EventTimerFired:
		balancer.TimerFired(batch.Now, e.TimerToken)
	}
}

// openInstance creates the Balancer of the current instance. It reports invalid settings as a fatal action.
func (h *host) openInstance(e *wire.Event) {
	settings, err := wire.ParseSettings(e.Settings)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	balancer, err := policy.New(settings, e.Seed, &h.reply)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	h.instances[h.currentInstance] = balancer
}
