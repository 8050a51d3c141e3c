package main

import (
	"fmt"
	"time"
)

// soakBreak is what a soak may find to be wrong.
type soakViolationKind string

// What a soak may find to be wrong.
const (
	violationDrain        soakViolationKind = "drain"              // sent to a server that counts as told to be out
	violationWritten      soakViolationKind = "drain, written"     // sent to a server that was written to be out
	violationUnconfirmed  soakViolationKind = "drain, unconfirmed" // sent before an agent had answered the process
	violationLogged       soakViolationKind = "drain, logged"      // the node says so itself
	violationOverdue      soakViolationKind = "drain, overdue"     // the list of a node is too old, as it says itself
	violationLost         soakViolationKind = "lost"               // a request without its final answer
	violationDuplicate    soakViolationKind = "duplicate"          // a request that ran twice
	violationDeadline     soakViolationKind = "deadline"           // a server is told more time than there is
	violationAnswer       soakViolationKind = "answer"             // an answer or a request that is of nobody
	violationTooFewServed soakViolationKind = "served"             // too few requests
	violationProcess      soakViolationKind = "process"            // not ready in time, or ended badly
	violationResources    soakViolationKind = "memory"             // memory, goroutines, descriptors
)

// soakProblem is one thing that was wrong.
type soakViolation struct {
	kind    soakViolationKind
	message string
}

// stamped words an event with its time.
func withTimestamp(format string, args ...any) string {
	return time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
}

// problem keeps what was wrong.
func (env *soakEnvironment) recordViolation(kind soakViolationKind, format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.recordViolationLocked(kind, format, args...)
}

// found is problem for a caller that holds the lock.
func (env *soakEnvironment) recordViolationLocked(kind soakViolationKind, format string, args ...any) {
	env.violations = append(env.violations, soakViolation{kind: kind, message: withTimestamp(format, args...)})
}

// firstProblems words the first few problems of each kind, and how many there are. The lock is held.
func (env *soakEnvironment) summarizeViolations() (lines []string) {
	const maxShown = 5
	count := map[soakViolationKind]int{}
	for _, violation := range env.violations {
		if count[violation.kind]++; count[violation.kind] <= maxShown {
			lines = append(lines, fmt.Sprintf("%s: %s", violation.kind, violation.message))
		}
	}
	for kind, total := range count {
		lines = append(lines, fmt.Sprintf("%s: %d in all", kind, total))
	}
	return lines
}
