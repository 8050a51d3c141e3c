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

// Call is one call to discovery, which a Fault answers or leaves unanswered.
type Call struct {
	Writer  http.ResponseWriter
	Request *http.Request

	discovery        *Discovery             // service that received the call; nil if a Replica received it
	faultChanged     <-chan struct{}        // channel that is closed when the fault of the service changes
	framing          *Framing               // framing of the answer; nil: compact text with a Content-Length
	awaitAnswer      func() ([]byte, error) // returns the text of the answer as soon as there is one
	beganBeforeFault bool                   // the call arrived before the fault was set
}

// Answer writes discovery's answer as soon as there is one.
func (c *Call) Answer() { c.write(c.answerText()) }

// answerText returns the text of discovery's answer. It answers a malformed call with status 400 and
// returns nil.
func (c *Call) answerText() []byte {
	text, err := c.awaitAnswer()
	if err != nil {
		http.Error(c.Writer, err.Error(), http.StatusBadRequest)
		return nil
	}
	return text
}

// write writes the text of an answer in the framing of the call. It writes nothing if the text is nil.
func (c *Call) write(text []byte) {
	switch {
	case text == nil:
	case c.framing != nil:
		c.framing.write(c, text)
	default:
		c.writeWithLength(text)
	}
}

// writeWithLength writes a text with a Content-Length.
func (c *Call) writeWithLength(text []byte) {
	c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.Writer.Write(text)
}

// pause waits for a delay. It returns false if the caller disconnects.
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

// Fault handles a call in place of its answer. It returns when the call is finished.
type Fault func(c *Call)

// DelayedCalls returns a fault that delays calls before they reach discovery.
func DelayedCalls(delay time.Duration) Fault {
	return func(c *Call) {
		if c.pause(delay) {
			c.Answer()
		}
	}
}

// DelayedAnswers returns a fault that delays answers. They hold the state from before the delay.
func DelayedAnswers(delay time.Duration) Fault {
	return func(c *Call) {
		if text := c.answerText(); c.pause(delay) {
			c.write(text)
		}
	}
}

// Unavailable answers with status 503.
func Unavailable(c *Call) { c.Writer.WriteHeader(http.StatusServiceUnavailable) }

// UnavailableAfter returns a fault that answers with status 503 after a delay.
func UnavailableAfter(delay time.Duration) Fault {
	return func(c *Call) {
		if c.pause(delay) {
			Unavailable(c)
		}
	}
}

// Reset closes the connection without an answer.
func Reset(*Call) { panic(http.ErrAbortHandler) }

// NoAnswer never answers a call, not even after the fault has ended, and keeps its connection open.
func NoAnswer(c *Call) { <-c.Request.Context().Done() }

// Malformed answers with a text that is not valid JSON.
func Malformed(c *Call) { c.write([]byte(`{"rev":2,"targets":[}`)) }

// Truncated sends half of an answer and closes the connection.
func Truncated(c *Call) {
	text := c.answerText()
	c.Writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	c.Writer.Write(text[:len(text)/2])
	panic(http.ErrAbortHandler)
}

// HeadersOnly sends the headers of an answer and never its body.
func HeadersOnly(c *Call) {
	c.Writer.Header().Set("Content-Length", "5000")
	http.NewResponseController(c.Writer).Flush()
	NoAnswer(c)
}

// Stalled sends half of an answer, and the rest once the fault of the service changes.
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

// OpenWatchesMissChanges returns a fault that applies another fault to all calls. Watches that are open
// when it is set are answered without the changes that they waited for.
func OpenWatchesMissChanges(fault Fault) Fault {
	return func(c *Call) {
		if c.beganBeforeFault {
			c.awaitAnswer = c.encodeNoChanges
		}
		fault(c)
	}
}

// encodeNoChanges returns the answer to a watch that ends without a change.
func (c *Call) encodeNoChanges() ([]byte, error) {
	since, err := strconv.ParseInt(c.Request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return nil, err
	}
	return json.Marshal(List{Version: since, Entries: []Entry{}})
}

// After returns a fault that applies another fault after a delay.
func After(delay time.Duration, fault Fault) Fault {
	return func(c *Call) {
		if c.pause(delay) {
			fault(c)
		}
	}
}

// Pieces returns a fault that sends answers in the given number of pieces with a pause after each.
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

// Sequence returns a fault that applies each of the given faults to one call, in their order; nil answers
// the call. Later calls are answered.
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

// AllButEveryNth returns a fault that answers every nth call and applies another fault to all others.
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

// AtRandom returns a fault that applies another fault to a random share of the calls. The seed determines
// which.
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
