package main

import (
	"fmt"
	"time"

	"otterstep/internal/standin"
)

const (
	// catchUpAfter is how long an address has to list a server in service, which another one has told to be
	// out, before that counts.
	catchUpAfter = 60 * time.Second

	// writtenUnsure is how long before the end of a connection what was written to it may not have been read:
	// the process may be held up.
	writtenUnsure = soakPause + 100*time.Millisecond
)

// soakLinkState is the state of the link to an address, as far as it matters for what is written.
type soakLinkState struct {
	faulty bool
	since  time.Time
}

// soakWritten is what the addresses of discovery have written to one process. It tells whether the process
// may send to a server by that alone: whatever it was told of a server's life, it was told.
type soakWritten struct {
	began      time.Time    // the process
	present    *soakAddress // that its configuration names
	movedAt    time.Time    // when it named it
	words      map[string][]soakWord
	links      map[int]soakLinkState
	confirmed  bool // a whole message was written
	knownBegan map[string]int64
}

// newSoakWritten begins with a process, and the list of its configuration.
func newSoakWritten(at time.Time, present *soakAddress, known standin.List) soakWritten {
	w := soakWritten{
		began: at, present: present, movedAt: at,
		words: map[string][]soakWord{}, links: map[int]soakLinkState{}, knownBegan: map[string]int64{},
	}
	for _, line := range known.Entries {
		w.knownBegan[line.UID] = line.BootMs
	}
	return w
}

// moved notes that the configuration names another address. What was written just before may not be read.
func (w *soakWritten) moved(next *soakAddress, at time.Time) {
	w.doubt(func(word soakWord) bool { return !word.at.Before(at.Add(-writtenUnsure)) })
	w.present, w.movedAt = next, at
}

// linkChanges notes what a link does from now on. What was written to it just before may not arrive.
func (w *soakWritten) linkChanges(address *soakAddress, fault standin.LinkFault, at time.Time) {
	if w.links == nil {
		return // no process yet
	}
	w.links[address.number] = soakLinkState{faulty: fault != standin.LinkHealthy, since: at}
	w.doubt(func(word soakWord) bool {
		return word.source.address == address.number && !word.at.Before(at.Add(-writtenUnsure))
	})
}

// abandoned notes that the process left a call before the message was whole: it may not have read the last
// of it.
func (w *soakWritten) abandoned(address, call int, at time.Time) {
	w.doubt(func(word soakWord) bool {
		return word.source.address == address && word.call == call && !word.at.Before(at.Add(-writtenUnsure))
	})
}

// doubt makes words unsure.
func (w *soakWritten) doubt(unsure func(soakWord) bool) {
	for _, words := range w.words {
		for i, word := range words {
			words[i].unsure = word.unsure || unsure(word)
		}
	}
}

// concerns tells whether an answer is to a call of this process.
func (w *soakWritten) concerns(answer *standin.Answer) bool {
	return w.words != nil && !answer.CalledAt.Before(w.began)
}

// arrives tells whether what is written to an answer is sure to reach the process.
func (w *soakWritten) arrives(address *soakAddress, answer *standin.Answer) bool {
	link := w.links[address.number]
	return address == w.present && !link.faulty && answer.FirstByteAt.After(link.since)
}

// completing takes in what a message puts into service, before its end is written: it counts when the
// message is whole.
func (w *soakWritten) completing(address *soakAddress, answer *standin.Answer, at time.Time) {
	w.confirmed = true
	for _, line := range answer.List.Entries {
		if !leaves(line) {
			w.say(line.UID, w.word(address, answer, line.BootMs, false, at))
		}
	}
}

// wrote takes in what lines that were written take out of service; those of a whole list also what they do
// not name.
func (w *soakWritten) wrote(address *soakAddress, answer *standin.Answer, lines []standin.Entry, whole bool, at time.Time) {
	for _, line := range lines {
		if leaves(line) {
			w.say(line.UID, w.word(address, answer, line.BootMs, true, at))
		}
	}
	if !whole || !answer.List.IsWhole {
		return
	}
	named := map[string]bool{}
	for _, line := range answer.List.Entries {
		named[line.UID] = true
	}
	for i := range soakServers {
		if uid := soakUID(i); !named[uid] {
			w.say(uid, w.word(address, answer, unnamed, true, at))
		}
	}
}

// word is what an answer says of a server.
func (w *soakWritten) word(address *soakAddress, answer *standin.Answer, bootMs int64, out bool, at time.Time) soakWord {
	return soakWord{
		at: at, source: soakSource{address: address.number, counter: answer.VersionRestarts}, call: answer.CallNumber,
		version: answer.List.Version, bootMs: bootMs, out: out, unsure: !w.arrives(address, answer),
	}
}

// say takes a word in, unless it repeats the latest of its server.
func (w *soakWritten) say(uid string, word soakWord) {
	words := w.words[uid]
	if len(words) > 0 {
		last := words[len(words)-1]
		same := last.source == word.source && last.version == word.version && last.bootMs == word.bootMs
		if same && last.out == word.out && !word.out {
			return
		}
	}
	w.words[uid] = append(words, word)
}

// life is the latest start of a server that the process was told of, with what it was told.
func (w *soakWritten) life(uid string) *soakLife {
	life := newSoakLife(unnamed)
	if bootMs, known := w.knownBegan[uid]; known {
		life.bootMs, life.sure = bootMs, true
	}
	for _, word := range w.words[uid] {
		switch {
		case word.bootMs == unnamed && !life.sure:
			continue // of a server that it may never have heard of
		case word.bootMs == unnamed:
			word.bootMs = life.bootMs
		case word.bootMs < life.bootMs:
			continue
		case word.bootMs > life.bootMs && word.out && word.unsure:
			continue
		case word.bootMs > life.bootMs:
			life = newSoakLife(word.bootMs)
		}
		life.take(word)
	}
	return life
}

// forbids tells whether the process may not have sent to a server at a time, by what it had been told, and
// who told it. What puts the server back counts up to the present.
func (w *soakWritten) forbids(uid string, sent, now time.Time) (why string, forbidden bool) {
	life := w.life(uid)
	if !life.out || !sent.After(life.outAt.Add(drainGrace+soakSlack)) {
		return "", false
	}
	since := life.lastOut
	if w.movedAt.After(since) {
		since = w.movedAt
	}
	if life.listedBy == w.present.number && now.Sub(since) > catchUpAfter {
		return "", false
	}
	why = fmt.Sprintf("start %d, since %s", life.bootMs, life.outAt.UTC().Format("15:04:05.000"))
	for address, word := range life.outBy {
		why += fmt.Sprintf(", by address %d in version %d, call %d", address, word.version, word.call)
	}
	return why, true
}

// soakObserver takes note of what an address of discovery writes.
type soakObserver struct {
	w       *soakWorld
	address *soakAddress
}

// Completing implements standin.AnswerObserver.
func (o *soakObserver) Completing(answer *standin.Answer) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	if o.w.written.concerns(answer) {
		o.w.written.completing(o.address, answer, time.Now())
	}
}

// Wrote implements standin.AnswerObserver.
func (o *soakObserver) EntriesWritten(answer *standin.Answer, lines []standin.Entry, whole bool) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	if o.w.written.concerns(answer) {
		o.w.written.wrote(o.address, answer, lines, whole, time.Now())
	}
}

// Abandoned implements standin.AnswerObserver.
func (o *soakObserver) Abandoned(answer *standin.Answer) {
	o.w.mu.Lock()
	defer o.w.mu.Unlock()
	if o.w.written.concerns(answer) {
		o.w.written.abandoned(o.address.number, answer.CallNumber, time.Now())
	}
}
