package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Call is one call to discovery, which a Fault answers or not.
type Call struct {
	Writer  http.ResponseWriter
	Request *http.Request

	discovery        *Discovery
	faultChanged     <-chan struct{} // closed when the fault of the service changes
	framing          *Framing        // nil: a compact text with its length
	awaitAnswer      func() ([]byte, error)
	beganBeforeFault bool // it had come before the fault began
}

// Answer writes what discovery has to say, once there is something.
func (c *Call) Answer() { c.write(c.answerText()) }

// text gives discovery's answer; nil where the call is malformed, which is answered.
func (c *Call) answerText() []byte {
	text, err := c.awaitAnswer()
	if err != nil {
		http.Error(c.Writer, err.Error(), http.StatusBadRequest)
		return nil
	}
	return text
}

func (c *Call) write(text []byte) {
	switch {
	case text == nil:
	case c.framing != nil:
		c.framing.write(c, text)
	default:
		c.writeWithLength(text)
	}
}

// writeAsIs writes a text with its length.
func (c *Call) writeWithLength(text []byte) {
	c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.Writer.Write(text)
}

// pause waits; false where the caller has left.
func (c *Call) pause(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.Request.Context().Done():
		return false
	}
}

// Fault is what happens to a call in place of its answer. It returns once it is done with the call.
type Fault func(c *Call)

// Slow has calls reach discovery only after some time.
func DelayedCalls(delay time.Duration) Fault {
	return func(c *Call) {
		if c.pause(delay) {
			c.Answer()
		}
	}
}

// SlowAnswers has discovery's answers come only after some time: they tell what it had before.
func DelayedAnswers(delay time.Duration) Fault {
	return func(c *Call) {
		if text := c.answerText(); c.pause(delay) {
			c.write(text)
		}
	}
}

// Unavailable answers 503.
func Unavailable(c *Call) { c.Writer.WriteHeader(http.StatusServiceUnavailable) }

// Crowded answers 503 after some time.
func UnavailableAfter(delay time.Duration) Fault {
	return func(c *Call) {
		if c.pause(delay) {
			Unavailable(c)
		}
	}
}

// Reset breaks the connection.
func Reset(*Call) { panic(http.ErrAbortHandler) }

// Silent says nothing to a call, ever: its connection is dead, also when discovery is well again.
func NoAnswer(c *Call) { <-c.Request.Context().Done() }

// Malformed answers what is no JSON.
func Malformed(c *Call) { c.write([]byte(`{"rev":2,"targets":[}`)) }

// Cut ends answers in their middle.
func Truncated(c *Call) {
	text := c.answerText()
	c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.Writer.Write(text[:len(text)/2])
	panic(http.ErrAbortHandler)
}

// HeadOnly sends the head of an answer and nothing more.
func HeadersOnly(c *Call) {
	c.Writer.Header().Set("Content-Length", "5000")
	http.NewResponseController(c.Writer).Flush()
	NoAnswer(c)
}

// Stalled begins an answer and falls silent in its middle until the fault of the service changes.
func Stalled(c *Call) {
	text := c.answerText()
	c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.Writer.Write(text[:len(text)/2])
	http.NewResponseController(c.Writer).Flush()
	select {
	case <-c.faultChanged:
		c.Writer.Write(text[len(text)/2:])
	case <-c.Request.Context().Done():
	}
}

// MissedWatches has watches that are open as a fault begins miss what changes then: they have nothing new to tell.
func OpenWatchesMissChanges(fault Fault) Fault {
	return func(c *Call) {
		if c.beganBeforeFault {
			c.awaitAnswer = c.encodeNoChanges
		}
		fault(c)
	}
}

// nothingNew is the answer to a watch that has waited in vain.
func (c *Call) encodeNoChanges() ([]byte, error) {
	since, err := strconv.ParseInt(c.Request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return nil, err
	}
	return json.Marshal(List{Version: since, Entries: []Entry{}})
}

// After has another fault strike calls after some time.
func After(delay time.Duration, fault Fault) Fault {
	return func(c *Call) {
		if c.pause(delay) {
			fault(c)
		}
	}
}

// Pieces sends answers in some pieces with pauses between them.
func Pieces(count int, pause time.Duration) Fault {
	return func(c *Call) {
		text := c.answerText()
		c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
		for i := range count {
			c.Writer.Write(text[len(text)*i/count : len(text)*(i+1)/count])
			http.NewResponseController(c.Writer).Flush()
			if !c.pause(pause) {
				return
			}
		}
	}
}

// Sequence has each of some faults strike one call, the first one the first; nil is none. Calls behind them
// are answered.
func Sequence(faults ...Fault) Fault {
	var calls atomic.Int64
	return func(c *Call) {
		i := calls.Add(1) - 1
		if i >= int64(len(faults)) || faults[i] == nil {
			c.Answer()
			return
		}
		faults[i](c)
	}
}

// AllBut has a fault strike all calls but every nth.
func AllButEveryNth(nth int, fault Fault) Fault {
	var calls atomic.Int64
	return func(c *Call) {
		if calls.Add(1)%int64(nth) == 0 {
			c.Answer()
			return
		}
		fault(c)
	}
}

// Sometimes has a fault strike a share of the calls, drawn at random by a seed.
func AtRandom(share float64, seed uint64, fault Fault) Fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	return func(c *Call) {
		mu.Lock()
		isDrawn := random.Float64() < share
		mu.Unlock()
		if isDrawn {
			fault(c)
			return
		}
		c.Answer()
	}
}
