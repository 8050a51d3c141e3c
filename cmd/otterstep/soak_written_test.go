package main

import (
	"fmt"
	"time"

	"otterstep/internal/standin"
)

const (
	// catchUpAfter is how long an address has to list a server in service, which another one has told to be
	// out, before that counts.
	maxCatchUpTime = 60 * time.Second

	// writtenUnsure is how long before the end of a connection what was written to it may not have been read:
	// the process may be held up.
	maxUnreadTime = soakPauseDuration + 100*time.Millisecond
)

// soakLinkState is the state of the link to an address, as far as it matters for what is written.
type soakLinkState struct {
	isFaulty bool
	since    time.Time
}

// soakWritten is what the addresses of discovery have written to one process. It tells whether the process
// may send to a server by that alone: whatever it was told of a server's life, it was told.
type deliveryChecker struct {
	processStartedAt time.Time    // the process
	configured       *soakAddress // that its configuration names
	addressChangedAt time.Time    // when it named it
	entries          map[string][]writtenEntry
	linkStates       map[int]soakLinkState
	isConfirmed      bool // a whole message was written
	knownBootMs      map[string]int64
}

// newSoakWritten begins with a process, and the list of its configuration.
func newDeliveryChecker(at time.Time, configured *soakAddress, knownList standin.List) deliveryChecker {
	c := deliveryChecker{
		processStartedAt: at, configured: configured, addressChangedAt: at,
		entries: map[string][]writtenEntry{}, linkStates: map[int]soakLinkState{}, knownBootMs: map[string]int64{},
	}
	for _, entry := range knownList.Entries {
		c.knownBootMs[entry.UID] = entry.BootMs
	}
	return c
}

// moved notes that the configuration names another address. What was written just before may not be read.
func (c *deliveryChecker) recordAddressChange(next *soakAddress, at time.Time) {
	c.markMayBeLost(func(entry writtenEntry) bool { return !entry.writtenAt.Before(at.Add(-maxUnreadTime)) })
	c.configured, c.addressChangedAt = next, at
}

// linkChanges notes what a link does from now on. What was written to it just before may not arrive.
func (c *deliveryChecker) recordLinkChange(address *soakAddress, fault standin.LinkFault, at time.Time) {
	if c.linkStates == nil {
		return // no process yet
	}
	c.linkStates[address.number] = soakLinkState{isFaulty: fault != standin.LinkHealthy, since: at}
	c.markMayBeLost(func(entry writtenEntry) bool {
		return entry.source.addressNumber == address.number && !entry.writtenAt.Before(at.Add(-maxUnreadTime))
	})
}

// abandoned notes that the process left a call before the message was whole: it may not have read the last
// of it.
func (c *deliveryChecker) recordAbandoned(addressNumber, callNumber int, at time.Time) {
	c.markMayBeLost(func(entry writtenEntry) bool {
		return entry.source.addressNumber == addressNumber && entry.callNumber == callNumber && !entry.writtenAt.Before(at.Add(-maxUnreadTime))
	})
}

// doubt makes words unsure.
func (c *deliveryChecker) markMayBeLost(mayBeLost func(writtenEntry) bool) {
	for _, entries := range c.entries {
		for i, entry := range entries {
			entries[i].mayBeLost = entry.mayBeLost || mayBeLost(entry)
		}
	}
}

// concerns tells whether an answer is to a call of this process.
func (c *deliveryChecker) isForProcess(answer *standin.Answer) bool {
	return c.entries != nil && !answer.CalledAt.Before(c.processStartedAt)
}

// arrives tells whether what is written to an answer is sure to reach the process.
func (c *deliveryChecker) isSureToArrive(address *soakAddress, answer *standin.Answer) bool {
	link := c.linkStates[address.number]
	return address == c.configured && !link.isFaulty && answer.FirstByteAt.After(link.since)
}

// completing takes in what a message puts into service, before its end is written: it counts when the
// message is whole.
func (c *deliveryChecker) recordCompleting(address *soakAddress, answer *standin.Answer, at time.Time) {
	c.isConfirmed = true
	for _, entry := range answer.List.Entries {
		if !isOutOfService(entry) {
			c.addEntry(entry.UID, c.entryOf(address, answer, entry.BootMs, false, at))
		}
	}
}

// wrote takes in what lines that were written take out of service; those of a whole list also what they do
// not name.
func (c *deliveryChecker) recordWritten(address *soakAddress, answer *standin.Answer, entries []standin.Entry, complete bool, at time.Time) {
	for _, entry := range entries {
		if isOutOfService(entry) {
			c.addEntry(entry.UID, c.entryOf(address, answer, entry.BootMs, true, at))
		}
	}
	if !complete || !answer.List.IsWhole {
		return
	}
	isNamed := map[string]bool{}
	for _, entry := range answer.List.Entries {
		isNamed[entry.UID] = true
	}
	for i := range soakServerCount {
		if uid := soakServerUID(i); !isNamed[uid] {
			c.addEntry(uid, c.entryOf(address, answer, unlistedBootMs, true, at))
		}
	}
}

// word is what an answer says of a server.
func (c *deliveryChecker) entryOf(address *soakAddress, answer *standin.Answer, bootMs int64, isOut bool, at time.Time) writtenEntry {
	return writtenEntry{
		writtenAt: at, source: soakSource{addressNumber: address.number, versionRestarts: answer.VersionRestarts}, callNumber: answer.CallNumber,
		version: answer.List.Version, bootMs: bootMs, isOut: isOut, mayBeLost: !c.isSureToArrive(address, answer),
	}
}

// say takes a word in, unless it repeats the latest of its server.
func (c *deliveryChecker) addEntry(uid string, entry writtenEntry) {
	entries := c.entries[uid]
	if len(entries) > 0 {
		last := entries[len(entries)-1]
		isSame := last.source == entry.source && last.version == entry.version && last.bootMs == entry.bootMs
		if isSame && last.isOut == entry.isOut && !entry.isOut {
			return
		}
	}
	c.entries[uid] = append(entries, entry)
}

// life is the latest start of a server that the process was told of, with what it was told.
func (c *deliveryChecker) latestIncarnation(uid string) *soakIncarnation {
	incarnation := newSoakIncarnation(unlistedBootMs)
	if bootMs, isKnown := c.knownBootMs[uid]; isKnown {
		incarnation.bootMs, incarnation.isReceived = bootMs, true
	}
	for _, entry := range c.entries[uid] {
		switch {
		case entry.bootMs == unlistedBootMs && !incarnation.isReceived:
			continue // of a server that it may never have heard of
		case entry.bootMs == unlistedBootMs:
			entry.bootMs = incarnation.bootMs
		case entry.bootMs < incarnation.bootMs:
			continue
		case entry.bootMs > incarnation.bootMs && entry.isOut && entry.mayBeLost:
			continue
		case entry.bootMs > incarnation.bootMs:
			incarnation = newSoakIncarnation(entry.bootMs)
		}
		incarnation.applyEntry(entry)
	}
	return incarnation
}

// forbids tells whether the process may not have sent to a server at a time, by what it had been told, and
// who told it. What puts the server back counts up to the present.
func (c *deliveryChecker) forbidsSend(uid string, sentAt, now time.Time) (reason string, isForbidden bool) {
	incarnation := c.latestIncarnation(uid)
	if !incarnation.isOut || !sentAt.After(incarnation.firstOutAt.Add(drainGrace+soakSchedulingSlack)) {
		return "", false
	}
	since := incarnation.lastOutAt
	if c.addressChangedAt.After(since) {
		since = c.addressChangedAt
	}
	if incarnation.listedByAddress == c.configured.number && now.Sub(since) > maxCatchUpTime {
		return "", false
	}
	reason = fmt.Sprintf("start %d, since %s", incarnation.bootMs, incarnation.firstOutAt.UTC().Format("15:04:05.000"))
	for address, notice := range incarnation.noticeByAddress {
		reason += fmt.Sprintf(", by address %d in version %d, call %d", address, notice.version, notice.callNumber)
	}
	return reason, true
}

// soakObserver takes note of what an address of discovery writes.
type soakObserver struct {
	env     *soakEnvironment
	address *soakAddress
}

// Completing implements standin.AnswerObserver.
func (o *soakObserver) Completing(answer *standin.Answer) {
	o.env.mu.Lock()
	defer o.env.mu.Unlock()
	if o.env.deliveries.isForProcess(answer) {
		o.env.deliveries.recordCompleting(o.address, answer, time.Now())
	}
}

// Wrote implements standin.AnswerObserver.
func (o *soakObserver) EntriesWritten(answer *standin.Answer, entries []standin.Entry, complete bool) {
	o.env.mu.Lock()
	defer o.env.mu.Unlock()
	if o.env.deliveries.isForProcess(answer) {
		o.env.deliveries.recordWritten(o.address, answer, entries, complete, time.Now())
	}
}

// Abandoned implements standin.AnswerObserver.
func (o *soakObserver) Abandoned(answer *standin.Answer) {
	o.env.mu.Lock()
	defer o.env.mu.Unlock()
	if o.env.deliveries.isForProcess(answer) {
		o.env.deliveries.recordAbandoned(o.address.number, answer.CallNumber, time.Now())
	}
}
