package main

import (
	"bytes"
	"strings"
	"sync"
)

// processLog collects the log output of one or more processes. It is safe for concurrent use.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns the whole output.
func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// removeGoroutineDump removes the goroutine dump that a process has written at its end on SIGQUIT, and returns
// the number of goroutines in it.
func (l *processLog) removeGoroutineDump() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	const dumpMarker, goroutineHeader = "SIGQUIT: quit", "\ngoroutine "
	text := l.text.String()
	dumpStart := strings.Index(text, dumpMarker)
	if dumpStart < 0 {
		return 0
	}
	l.text.Truncate(dumpStart)
	return strings.Count(text[dumpStart:], goroutineHeader)
}
