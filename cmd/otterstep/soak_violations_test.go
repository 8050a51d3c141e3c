package main

import (
	"fmt"
	"time"
)

// soakViolationKind is a kind of violation that the soak reports.
type soakViolationKind string

// The kinds of violations.
const (
	violationDrain        soakViolationKind = "drain"              // request to a server that the node has to know to be out of service
	violationWritten      soakViolationKind = "drain, written"     // request to a server that was written to the process as out of service
	violationUnconfirmed  soakViolationKind = "drain, unconfirmed" // request before the agent's first complete answer to the process
	violationLogged       soakViolationKind = "drain, logged"      // drain violation that the node logs itself
	violationOverdue      soakViolationKind = "drain, overdue"     // overdue list that the node logs while discovery is reachable
	violationLost         soakViolationKind = "lost"               // request without a final answer in time
	violationDuplicate    soakViolationKind = "duplicate"          // POST request that servers received more than once
	violationDeadline     soakViolationKind = "deadline"           // request that states more time than its client has left
	violationAnswer       soakViolationKind = "answer"             // answer to another request, or request that no client sent
	violationTooFewServed soakViolationKind = "served"             // too few requests were served
	violationProcess      soakViolationKind = "process"            // process that is late to be ready or exits with an error
	violationResources    soakViolationKind = "memory"             // too much memory, or too many goroutines or descriptors
)

// soakViolation is a violation that the soak has found.
type soakViolation struct {
	kind    soakViolationKind
	message string
}

// withTimestamp formats a text and prepends the present time.
func withTimestamp(format string, args ...any) string {
	return time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...)
}

// recordViolation records a violation.
func (env *soakEnvironment) recordViolation(kind soakViolationKind, format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.recordViolationLocked(kind, format, args...)
}

// recordViolationLocked is recordViolation for a caller that holds env.mu.
func (env *soakEnvironment) recordViolationLocked(kind soakViolationKind, format string, args ...any) {
	env.violations = append(env.violations, soakViolation{kind: kind, message: withTimestamp(format, args...)})
}

// summarizeViolations returns the first few violations of each kind, and how many there are. The caller holds env.mu.
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
