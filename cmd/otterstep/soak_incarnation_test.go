package main

import "time"

// soakSource is the source of a list: an address of discovery between two restarts of its versions.
type soakSource struct {
	addressNumber   int
	versionRestarts int // number of restarts of the versions so far
}

// writtenEntry is the entry of a server in a message to the process, or the absence of the server from a whole list.
type writtenEntry struct {
	writtenAt  time.Time
	source     soakSource
	callNumber int
	version    int64
	bootMs     int64 // start of the server in Unix milliseconds, or unlistedBootMs
	isOut      bool  // whether the server is out of service
	mayBeLost  bool  // whether the process may not have received the entry
}

// unlistedBootMs stands for the start of a server that a whole list does not name: the entry applies to the latest
// known incarnation.
const unlistedBootMs = -1

// soakIncarnation is a server from one start to the next, as the entries that were written to a process describe it.
type soakIncarnation struct {
	bootMs            int64
	isReceived        bool                 // whether the process has surely received an entry of the incarnation
	inServiceVersions map[soakSource]int64 // latest version that has the incarnation in service, by source
	isOut             bool                 // whether the incarnation is out of service
	firstOutAt        time.Time            // time of writing of the first entry that took it out of service
	lastOutAt         time.Time            // time of writing of the last such entry that surely arrived
	noticeByAddress   map[int]writtenEntry // latest entry that takes it out of service, by number of the address
	listedByAddress   int                  // number of the address whose latest entry has it in service; -1: none
}

func newSoakIncarnation(bootMs int64) *soakIncarnation {
	return &soakIncarnation{bootMs: bootMs, inServiceVersions: map[soakSource]int64{}, listedByAddress: -1}
}

// applyEntry applies an entry of this incarnation.
func (inc *soakIncarnation) applyEntry(entry writtenEntry) {
	inc.isReceived = inc.isReceived || !entry.mayBeLost
	if entry.isOut {
		inc.applyOutOfService(entry)
		return
	}
	inc.listedByAddress = entry.source.addressNumber
	if notice, hasNotice := inc.noticeByAddress[entry.source.addressNumber]; inc.isOut && hasNotice && entry.version > notice.version {
		inc.isOut = false
	}
	if !inc.isOut {
		inc.inServiceVersions[entry.source] = max(inc.inServiceVersions[entry.source], entry.version)
	}
}

// applyOutOfService applies an entry that takes the incarnation out of service. It ignores entries of a version
// that is no later than the latest one of the same source with the server in service.
func (inc *soakIncarnation) applyOutOfService(entry writtenEntry) {
	if inServiceVersion, isListed := inc.inServiceVersions[entry.source]; isListed && entry.version <= inServiceVersion {
		return
	}
	if !inc.isOut && entry.mayBeLost {
		return
	}
	if !inc.isOut {
		inc.isOut, inc.firstOutAt, inc.noticeByAddress = true, entry.writtenAt, map[int]writtenEntry{}
	}
	addressNumber := entry.source.addressNumber
	if !entry.mayBeLost {
		inc.lastOutAt = entry.writtenAt
	}
	if inc.listedByAddress == addressNumber {
		inc.listedByAddress = -1
	}
	if previous, hasPrevious := inc.noticeByAddress[addressNumber]; hasPrevious &&
		previous.source == entry.source && previous.version > entry.version {
		return
	}
	inc.noticeByAddress[addressNumber] = entry
}
