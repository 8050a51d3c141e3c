package standin

import (
	"net/http/httptest"
	"time"
)

// Frozen is the lag of a replica that never catches up.
const NeverCatchesUp time.Duration = -1

// replica is a service that takes over the changes of another one late.
type discoveryReplica struct {
	discovery *Discovery
	lag       time.Duration
}

// NewReplica starts a service at an address of its own that begins with what another one has, under the
// same version, and takes each change of that one over after a lag; Frozen: never. Close ends it.
func NewDiscoveryReplica(source *Discovery, lag time.Duration) *Discovery {
	source.mu.Lock()
	defer source.mu.Unlock()
	d := newDiscovery(nil)
	for _, change := range source.changeLog {
		d.addVersion(change.version, change.entries)
	}
	source.replicas = append(source.replicas, discoveryReplica{discovery: d, lag: lag})
	d.server = httptest.NewServer(d)
	return d
}

// replicate has the replicas take a version over. The lock is held.
func (d *Discovery) replicate(version int64, entries []Entry) {
	for _, r := range d.replicas {
		if r.lag == NeverCatchesUp {
			continue
		}
		time.AfterFunc(r.lag, func() { r.discovery.addIfNewer(version, entries) })
	}
}

// apply puts lines in place as a version, unless a later one is there.
func (d *Discovery) addIfNewer(version int64, entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version > d.version {
		d.addVersion(version, entries)
	}
}

// Restart has the service count its versions anew, from 1, with other lines, as one that has lost its store.
func (d *Discovery) Restart(entries []Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.entries)
	clear(d.changedAtVersion)
	d.changeLog = nil
	d.addVersion(1, entries)
}

// From has calls reach another service, such as a replica behind the same address.
func AnsweredBy(other *Discovery) Fault {
	return func(c *Call) {
		c.awaitAnswer = func() ([]byte, error) { return other.awaitAnswer(c.Request, nil) }
		c.Answer()
	}
}
