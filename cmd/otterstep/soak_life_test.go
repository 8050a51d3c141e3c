package main

import "time"

// soakSource is an address of discovery, and how often its versions had started anew.
type soakSource struct {
	addressNumber   int
	versionRestarts int
}

// soakWord is what a message said of a server: in service or out of it.
type writtenEntry struct {
	writtenAt  time.Time
	source     soakSource
	callNumber int
	version    int64
	bootMs     int64 // unnamed: of the life that was known
	isOut      bool
	mayBeLost  bool // the process may not have got it
}

// unnamed is the start of a server that a whole list does not name.
const unlistedBootMs = -1

// soakLife is one start of a server, as a process was told of it.
type soakIncarnation struct {
	bootMs            int64
	isReceived        bool                 // the process got a word of it
	inServiceVersions map[soakSource]int64 // latest version that has it in service
	isOut             bool
	firstOutAt        time.Time            // when it was told first,
	lastOutAt         time.Time            // and last
	noticeByAddress   map[int]writtenEntry // latest of each address
	listedByAddress   int                  // address whose latest word has it in service
}

func newSoakIncarnation(bootMs int64) *soakIncarnation {
	return &soakIncarnation{bootMs: bootMs, inServiceVersions: map[soakSource]int64{}, listedByAddress: -1}
}

// take takes a word of this life in.
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

// takeOut takes in that it is out of service. A message from before says nothing.
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
	address := entry.source.addressNumber
	if !entry.mayBeLost {
		inc.lastOutAt = entry.writtenAt
	}
	if inc.listedByAddress == address {
		inc.listedByAddress = -1
	}
	if previous, hasPrevious := inc.noticeByAddress[address]; hasPrevious && previous.source == entry.source && previous.version > entry.version {
		return
	}
	inc.noticeByAddress[address] = entry
}
