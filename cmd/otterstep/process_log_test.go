package main

import (
	"bytes"
	"strings"
	"sync"
)

// processLog is what processes have logged. It is safe for concurrent use.
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

// String gives all of it.
func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// dropDump takes out the goroutines that an ended process has dumped, and counts them.
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
