// Package kit holds the stand-ins and helpers of the review's cases: discovery, billing servers, a link with a
// delay, clients, and a node that runs as a process of its own. All addresses are loopback addresses.
package kit

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes record.txt: what was sent, answered and run, each line with the seconds since the start.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Line writes one line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes out what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
