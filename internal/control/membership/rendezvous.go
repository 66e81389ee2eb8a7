package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// score returns the rendezvous hash of a key and a candidate.
func score(key uint64, candidate identity.OwnerID) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], key)
	binary.LittleEndian.PutUint64(b[8:], uint64(candidate))
	return xxhash.Sum64(b[:])
}

type scored struct {
	record Record
	class  int
	score  uint64
}

// rank returns the first count candidates, ordered by ascending class and then
// by descending score. A candidate with a negative class is excluded.
func rank(key uint64, candidates []Record, count int, class func(Record) int) []Record {
	return rankBy(candidates, count, class, func(r Record) uint64 { return score(key, r.ID()) })
}

// rankRing ranks like rank, but orders candidates of the same class by their
// position on a hash ring: the closest successors of key come first.
func rankRing(key identity.OwnerID, candidates []Record, count int, class func(Record) int) []Record {
	position := score(0, key)
	return rankBy(candidates, count, class, func(r Record) uint64 { return position - score(0, r.ID()) })
}

func rankBy(candidates []Record, count int, class func(Record) int, scoreOf func(Record) uint64) []Record {
	best := make([]scored, 0, count+1)
	for _, r := range candidates {
		s := scored{record: r, class: class(r), score: scoreOf(r)}
		if s.class < 0 {
			continue
		}
		if len(best) == count && compareScored(s, best[count-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, compareScored)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), count)]
	}
	records := make([]Record, len(best))
	for i, s := range best {
		records[i] = s.record
	}
	return records
}

func compareScored(a, b scored) int {
	if c := cmp.Compare(a.class, b.class); c != 0 {
		return c
	}
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.record.ID(), b.record.ID())
}
