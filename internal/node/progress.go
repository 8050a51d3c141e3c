package node

import (
	"io"
	"time"
)

const (
	// leastRate is the pace in bytes a second below which an answer is too slow to wait for.
	minAnswerBytesPerSecond = 256 << 10
	// answerMost is the longest time that an answer may take from its first byte on,
	// whatever its pace.
	maxAnswerTime = time.Minute
	// progressStep is after how many bytes of an answer it is told how many have come.
	progressStepBytes = 64 << 10
)

// progress ends a call that gives no answer in its time. An answer that has begun may
// take longer, as a long list does, while it keeps coming; it is bounded all the same.
type deadlineReader struct {
	maxPause time.Duration // the longest that a body may pause
	deadline time.Time     // of the time for the first byte, and for all of a short answer
	timer    *time.Timer

	body      io.Reader
	bodyStart time.Time // the body
	bytesRead int       // bytes of it

	onProgress    func(bytes int) // told of each further progressStep of them; nil: nobody wants to know
	reportedBytes int
}

// newProgress calls expire once the time is over.
func newDeadlineReader(wait, maxPause time.Duration, onTimeout func()) *deadlineReader {
	return &deadlineReader{maxPause: maxPause, deadline: time.Now().Add(wait), timer: time.AfterFunc(wait, onTimeout)}
}

func (p *deadlineReader) stop() { p.timer.Stop() }

// follow makes p the reader of a body that begins now.
func (p *deadlineReader) wrap(body io.Reader) io.Reader {
	p.body, p.bodyStart = body, time.Now()
	p.extend(p.bodyStart)
	return p
}

func (p *deadlineReader) Read(b []byte) (int, error) {
	n, err := p.body.Read(b)
	if p.bytesRead += n; n > 0 {
		p.extend(time.Now())
	}
	if p.onProgress != nil && p.bytesRead-p.reportedBytes >= progressStepBytes {
		p.reportedBytes = p.bytesRead
		p.onProgress(p.bytesRead)
	}
	return n, err
}

// extend sets the time limit anew after progress.
func (p *deadlineReader) extend(now time.Time) {
	p.timer.Reset(max(p.deadline.Sub(now), bodyTimeLeft(p.maxPause, now.Sub(p.bodyStart), p.bytesRead)))
}

// bodyTimeLeft is how long to wait for more of a body, of which so many bytes have come in
// the time since it began. It may pause for the silence, and each byte read earns it time.
func bodyTimeLeft(maxPause, elapsed time.Duration, bytesRead int) time.Duration {
	earned := time.Duration(float64(bytesRead) / minAnswerBytesPerSecond * float64(time.Second))
	return max(0, min(maxPause, maxPause+earned-elapsed, maxAnswerTime-elapsed))
}
