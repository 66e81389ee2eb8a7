package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

const (
	// TombstoneLifetime is how long the record of a dead or left member is
	// kept, so that late updates cannot revive the member.
	TombstoneLifetime = 10 * clock.Minute

	// bucketCount is 64, so that a 64-bit mask can represent any set of
	// buckets. At the target size a bucket of a data centre holds 7 members.
	// One differing record then costs about 2 KB instead of the 50 KB of the
	// whole data centre.
	bucketCount = 64
)

// buckets holds the XOR of the record hashes of each bucket.
type buckets [bucketCount]uint64

// Table holds the records of all members, indexed by data centre and service.
type Table struct {
	entries     map[identity.OwnerID]entry
	dataCentres map[string]*dataCentre
	services    map[identity.ServiceID]map[identity.OwnerID]struct{}
	// expiries is sorted by time.
	expiries []expiry
	// interned holds the strings that records share.
	interned map[string]string
}

type entry struct {
	record Record
	// endedAt is when the member of a tombstone ended, by the clock of this
	// process.
	endedAt clock.Millis
}

type expiry struct {
	id identity.OwnerID
	at clock.Millis
}

type dataCentre struct {
	members map[identity.OwnerID]struct{}
	// balancers are those that have not ended.
	balancers map[identity.OwnerID]struct{}
	buckets   buckets
	// digest is the XOR of the hashes of all records in the data centre.
	digest uint64
	// hadBalancer stays true once the data centre had a balancer.
	hadBalancer bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries:     map[identity.OwnerID]entry{},
		dataCentres: map[string]*dataCentre{},
		services:    map[identity.ServiceID]map[identity.OwnerID]struct{}{},
		interned:    map[string]string{},
	}
}

// Get returns the record of a member, which may be a tombstone, and false if
// there is none.
func (t *Table) Get(id identity.OwnerID) (Record, bool) {
	e, ok := t.entries[id]
	return e.record, ok
}

// Len returns the number of records, including tombstones.
func (t *Table) Len() int { return len(t.entries) }

// Records returns all records, including tombstones, in order of their IDs.
func (t *Table) Records() []Record {
	records := make([]Record, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		records = append(records, t.entries[id].record)
	}
	return records
}

// put replaces the record of a member. endedAt is used only for tombstones.
func (t *Table) put(r Record, endedAt clock.Millis) {
	r = t.intern(r)
	if old, ok := t.entries[r.ID()]; ok {
		t.removeFromIndexes(old.record)
	}
	t.entries[r.ID()] = entry{record: r, endedAt: endedAt}
	t.addToIndexes(r)
	if r.State().Ended() {
		e := expiry{id: r.ID(), at: endedAt + TombstoneLifetime}
		at, _ := slices.BinarySearchFunc(t.expiries, e, func(a, b expiry) int { return cmp.Compare(a.at, b.at) })
		t.expiries = slices.Insert(t.expiries, at, e)
	}
}

// remove deletes the record of a member without leaving a tombstone.
func (t *Table) remove(id identity.OwnerID) {
	if e, ok := t.entries[id]; ok {
		t.removeFromIndexes(e.record)
		delete(t.entries, id)
	}
}

// expire deletes tombstones older than TombstoneLifetime and returns their IDs.
func (t *Table) expire(now clock.Millis) []identity.OwnerID {
	var removed []identity.OwnerID
	for len(t.expiries) > 0 && t.expiries[0].at <= now {
		id := t.expiries[0].id
		t.expiries = t.expiries[1:]
		if e, ok := t.entries[id]; ok && e.record.State().Ended() && e.endedAt+TombstoneLifetime <= now {
			t.remove(id)
			removed = append(removed, id)
		}
	}
	return removed
}

// intern makes records share the strings that many of them contain. Each
// decoded message has its own copy of them.
func (t *Table) intern(r Record) Record {
	for _, s := range []*string{&r.config.DataCentre, &r.config.Customer, &r.config.Service} {
		if known, ok := t.interned[*s]; ok {
			*s = known
		} else {
			t.interned[*s] = *s
		}
	}
	return r
}

func (t *Table) dataCentre(name string) *dataCentre {
	d, ok := t.dataCentres[name]
	if !ok {
		d = &dataCentre{members: map[identity.OwnerID]struct{}{}, balancers: map[identity.OwnerID]struct{}{}}
		t.dataCentres[name] = d
	}
	return d
}

func (t *Table) addToIndexes(r Record) {
	d := t.dataCentre(r.DataCentre())
	d.members[r.ID()] = struct{}{}
	if r.Role() == RoleBalancer {
		d.hadBalancer = true
		if !r.State().Ended() {
			d.balancers[r.ID()] = struct{}{}
		}
	} else {
		members, ok := t.services[r.ServiceID()]
		if !ok {
			members = map[identity.OwnerID]struct{}{}
			t.services[r.ServiceID()] = members
		}
		members[r.ID()] = struct{}{}
	}
	d.toggleHash(r)
}

func (t *Table) removeFromIndexes(r Record) {
	d := t.dataCentre(r.DataCentre())
	delete(d.members, r.ID())
	delete(d.balancers, r.ID())
	if members, ok := t.services[r.ServiceID()]; ok {
		delete(members, r.ID())
		if len(members) == 0 {
			delete(t.services, r.ServiceID())
		}
	}
	d.toggleHash(r)
}

// toggleHash adds a record to the hashes, or removes it if it was added before.
// Tombstones are left out, because processes remove them at slightly different
// times.
func (d *dataCentre) toggleHash(r Record) {
	if r.State().Ended() {
		return
	}
	h := recordHash(r)
	d.buckets[bucketOf(r.ID())] ^= h
	d.digest ^= h
}

func bucketOf(id identity.OwnerID) int { return int(uint64(id) % bucketCount) }

func recordHash(r Record) uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.ID()))
	binary.LittleEndian.PutUint64(b[8:], r.Version())
	b[16] = byte(r.State())
	return xxhash.Sum64(b[:])
}

// balancers returns all balancers that have not ended, in no particular order.
func (t *Table) balancers() []Record {
	var records []Record
	for _, d := range t.dataCentres {
		for id := range d.balancers {
			records = append(records, t.entries[id].record)
		}
	}
	return records
}

// membersIn returns the IDs of the members in one data centre that satisfy
// match, in ascending order.
func (t *Table) membersIn(name string, match func(identity.OwnerID) bool) []identity.OwnerID {
	d, ok := t.dataCentres[name]
	if !ok {
		return nil
	}
	var ids []identity.OwnerID
	for id := range d.members {
		if match(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// member returns the record of a member as a message, and false if there is
// none.
func (t *Table) member(now clock.Millis, id identity.OwnerID) (*controlpb.Member, bool) {
	e, ok := t.entries[id]
	if !ok {
		return nil, false
	}
	m := e.record.Member()
	if e.record.State().Ended() {
		m.TombstoneAge = uint32(max(now-e.endedAt, 0) / clock.Second)
	}
	return m, true
}
