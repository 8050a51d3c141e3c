package main

import (
	"fmt"
	"time"

	"otterstep/internal/standin"
)

const (
	// maxCatchUpTime is the time since the latest address change and the latest notice after which the configured
	// address may return a server to service that another address took out.
	maxCatchUpTime = 60 * time.Second

	// maxUnreadTime is the time before the end of a connection within which data written to it may not have been
	// read, because the process may be suspended.
	maxUnreadTime = soakPauseDuration + 100*time.Millisecond
)

// soakLinkState records whether the link to an address has a fault.
type soakLinkState struct {
	isFaulty bool
	since    time.Time // time of the latest change of the link
}

// deliveryChecker records what the addresses of discovery have written to one process, and decides by that alone
// whether the process may send to a server. An entry counts as soon as it was written, even if the rest of its
// message never is.
type deliveryChecker struct {
	processStartedAt time.Time                 // time at which the process started
	configured       *soakAddress              // address that the configuration names
	addressChangedAt time.Time                 // time at which the configuration began to name that address
	entries          map[string][]writtenEntry // entries by UID, in the order of writing
	linkStates       map[int]soakLinkState     // states of the links, by number of the address
	isConfirmed      bool                      // whether a complete message was written
	knownBootMs      map[string]int64          // start times in the configured list, by UID
}

// newDeliveryChecker returns a checker for a process that starts with the list of its configuration.
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

// recordAddressChange records that the configuration names another address. The process may not have read what was
// written just before.
func (c *deliveryChecker) recordAddressChange(next *soakAddress, at time.Time) {
	c.markMayBeLost(func(entry writtenEntry) bool { return !entry.writtenAt.Before(at.Add(-maxUnreadTime)) })
	c.configured, c.addressChangedAt = next, at
}

// recordLinkChange records the fault of a link from now on. What was written to it just before may not arrive.
func (c *deliveryChecker) recordLinkChange(address *soakAddress, fault standin.LinkFault, at time.Time) {
	if c.linkStates == nil {
		return // no process has started yet
	}
	c.linkStates[address.number] = soakLinkState{isFaulty: fault != standin.LinkHealthy, since: at}
	c.markMayBeLost(func(entry writtenEntry) bool {
		return entry.source.addressNumber == address.number && !entry.writtenAt.Before(at.Add(-maxUnreadTime))
	})
}

// recordAbandoned records that the process abandoned a call before the message was complete. It may not have read the
// last part.
func (c *deliveryChecker) recordAbandoned(addressNumber, callNumber int, at time.Time) {
	c.markMayBeLost(func(entry writtenEntry) bool {
		return entry.source.addressNumber == addressNumber && entry.callNumber == callNumber &&
			!entry.writtenAt.Before(at.Add(-maxUnreadTime))
	})
}

// markMayBeLost marks the entries for which mayBeLost returns true: the process may not have received them.
func (c *deliveryChecker) markMayBeLost(mayBeLost func(writtenEntry) bool) {
	for _, entries := range c.entries {
		for i, entry := range entries {
			entries[i].mayBeLost = entry.mayBeLost || mayBeLost(entry)
		}
	}
}

// isForProcess reports whether an answer belongs to a call of this process.
func (c *deliveryChecker) isForProcess(answer *standin.Answer) bool {
	return c.entries != nil && !answer.CalledAt.Before(c.processStartedAt)
}

// isSureToArrive reports whether what is written to an answer surely reaches the process.
func (c *deliveryChecker) isSureToArrive(address *soakAddress, answer *standin.Answer) bool {
	link := c.linkStates[address.number]
	return address == c.configured && !link.isFaulty && answer.FirstByteAt.After(link.since)
}

// recordCompleting records the servers that a message has in service, just before its end is written. They count
// only in a complete message.
func (c *deliveryChecker) recordCompleting(address *soakAddress, answer *standin.Answer, at time.Time) {
	c.isConfirmed = true
	for _, entry := range answer.List.Entries {
		if !isOutOfService(entry) {
			c.addEntry(entry.UID, c.entryOf(address, answer, entry.BootMs, false, at))
		}
	}
}

// recordWritten records the servers that written entries take out of service. Once a whole list is complete, those
// that it does not name are out of service, too.
func (c *deliveryChecker) recordWritten(
	address *soakAddress, answer *standin.Answer, entries []standin.Entry, complete bool, at time.Time,
) {
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

// entryOf returns the entry for one server of an answer that was written at the given time.
func (c *deliveryChecker) entryOf(address *soakAddress, answer *standin.Answer, bootMs int64, isOut bool, at time.Time) writtenEntry {
	return writtenEntry{
		writtenAt: at, source: soakSource{addressNumber: address.number, versionRestarts: answer.VersionRestarts},
		callNumber: answer.CallNumber, version: answer.List.Version, bootMs: bootMs, isOut: isOut,
		mayBeLost: !c.isSureToArrive(address, answer),
	}
}

// addEntry adds an entry, unless it has the server in service and repeats its latest entry.
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

// latestIncarnation returns the latest incarnation of a server that the process knows of, with its entries applied.
func (c *deliveryChecker) latestIncarnation(uid string) *soakIncarnation {
	incarnation := newSoakIncarnation(unlistedBootMs)
	if bootMs, isKnown := c.knownBootMs[uid]; isKnown {
		incarnation.bootMs, incarnation.isReceived = bootMs, true
	}
	for _, entry := range c.entries[uid] {
		switch {
		case entry.bootMs == unlistedBootMs && !incarnation.isReceived:
			continue // the process may not know the server at all
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

// forbidsSend reports whether the process was not allowed to send to a server at sentAt, and why. An entry that
// returns the server to service counts if it was written before now.
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
	reason = fmt.Sprintf("boot_ms %d, out of service since %s", incarnation.bootMs, incarnation.firstOutAt.UTC().Format("15:04:05.000"))
	for addressNumber, notice := range incarnation.noticeByAddress {
		reason += fmt.Sprintf(", by address %d in version %d, call %d", addressNumber, notice.version, notice.callNumber)
	}
	return reason, true
}

// soakObserver records what an address of discovery writes.
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

// EntriesWritten implements standin.AnswerObserver.
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
