package node

import (
	"io"
	"time"
)

const (
	// minAnswerBytesPerSecond is the rate below which an answer is too slow to wait for.
	minAnswerBytesPerSecond = 256 << 10
	// maxAnswerTime is the longest time that an answer may take from its first byte on, whatever its rate.
	maxAnswerTime = time.Minute
	// progressStepBytes is the number of bytes of an answer between two reports of its progress.
	progressStepBytes = 64 << 10
)

// deadlineReader ends a call that brings no answer in time, and reads the body of the answer. A body that has
// begun, such as that of a long list, may take longer while it keeps arriving, up to maxAnswerTime.
type deadlineReader struct {
	maxPause time.Duration // longest pause of the body
	deadline time.Time     // latest time for the first byte, and for the whole of a short answer
	timer    *time.Timer

	body      io.Reader
	bodyStart time.Time // time at which the body began
	bytesRead int       // number of bytes of the body so far

	onProgress    func(bytes int) // called after each further progressStepBytes; nil: not called
	reportedBytes int
}

// newDeadlineReader returns a reader that calls onTimeout if the call has no answer after wait, or if the body pauses
// too long or arrives too slowly.
func newDeadlineReader(wait, maxPause time.Duration, onTimeout func()) *deadlineReader {
	return &deadlineReader{maxPause: maxPause, deadline: time.Now().Add(wait), timer: time.AfterFunc(wait, onTimeout)}
}

// stop ends the timer.
func (r *deadlineReader) stop() { r.timer.Stop() }

// wrap makes r the reader of a body that begins now.
func (r *deadlineReader) wrap(body io.Reader) io.Reader {
	r.body, r.bodyStart = body, time.Now()
	r.extend(r.bodyStart)
	return r
}

// Read implements io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	yieldProcessor()
	n, err := r.body.Read(b)
	if r.bytesRead += n; n > 0 {
		r.extend(time.Now())
	}
	if r.onProgress != nil && r.bytesRead-r.reportedBytes >= progressStepBytes {
		r.reportedBytes = r.bytesRead
		r.onProgress(r.bytesRead)
	}
	return n, err
}

// extend resets the timer after progress.
func (r *deadlineReader) extend(now time.Time) {
	r.timer.Reset(max(r.deadline.Sub(now), bodyTimeLeft(r.maxPause, now.Sub(r.bodyStart), r.bytesRead)))
}

// bodyTimeLeft returns how long to wait for more of a body that began the elapsed time ago and of which bytesRead
// bytes have arrived. The body may pause for maxPause, and each byte extends its time.
func bodyTimeLeft(maxPause, elapsed time.Duration, bytesRead int) time.Duration {
	earned := time.Duration(float64(bytesRead) / minAnswerBytesPerSecond * float64(time.Second))
	return max(0, min(maxPause, maxPause+earned-elapsed, maxAnswerTime-elapsed))
}
