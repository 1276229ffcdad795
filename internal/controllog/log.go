package controllog

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// log is the log in memory. Indices start at 1.
type log struct {
	base     uint64 // index before the first record in memory
	baseTerm uint64
	records  []*wire.LogRecord // records[i].Index == base+1+i
	sizes    []uint64          // sizes[i] is the encoded size of records[i] in bytes

	snapshot    *wire.VoterSnapshot // latest durable snapshot; nil before the first; base <= snapshot.Index <= last()
	memberships []indexedMembership // ascending by index; the last one is in force
}

// indexedMembership is a membership and the index of its record.
type indexedMembership struct {
	index      uint64
	membership *wire.Membership
}

// last returns the index of the last record.
func (l *log) last() uint64 {
	return l.base + uint64(len(l.records))
}

// term returns the term of the record at index, or false if the record is not in memory.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.records[index-l.base-1].Term, true
}

// lastTerm returns the term of the last record.
func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// between returns the records with from <= index <= to.
func (l *log) between(from, to uint64) []*wire.LogRecord {
	to = min(to, l.last())
	if from > to || from <= l.base {
		return nil
	}
	return l.records[from-l.base-1 : to-l.base]
}

// bytes returns the encoded size of the records with from <= index <= to.
func (l *log) bytes(from, to uint64) uint64 {
	to = min(to, l.last())
	if from > to || from <= l.base {
		return 0
	}
	sum := uint64(0)
	for _, size := range l.sizes[from-l.base-1 : to-l.base] {
		sum += size
	}
	return sum
}

// sizesOf returns the encoded sizes of records in bytes.
func sizesOf(records []*wire.LogRecord) []uint64 {
	sizes := make([]uint64, 0, len(records))
	for _, r := range records {
		sizes = append(sizes, uint64(proto.Size(r)))
	}
	return sizes
}

// replaceFrom replaces all records from the index of the first given one on.
func (l *log) replaceFrom(records []*wire.LogRecord) {
	first := records[0].Index
	l.records = slices.Concat(l.records[:first-l.base-1], records)
	l.sizes = slices.Concat(l.sizes[:first-l.base-1], sizesOf(records))
	for n := len(l.memberships); n > 0 && l.memberships[n-1].index >= first; n-- {
		l.memberships = l.memberships[:n-1]
	}
	for _, r := range records {
		if m := r.GetMembership(); m != nil {
			l.memberships = append(l.memberships, indexedMembership{r.Index, m})
		}
	}
}

// compact drops records that a durable snapshot contains, except the last ones up to a number and a size in bytes.
func (l *log) compact(s *wire.VoterSnapshot, keep, keepBytes uint64) {
	if l.snapshot != nil && s.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = s
	base := s.Index - min(keep, s.Index-l.base)
	for l.bytes(base+1, s.Index) > keepBytes {
		base++
	}
	if base == l.base {
		return
	}
	term, _ := l.term(base)
	l.sizes = slices.Clone(l.sizes[base-l.base:])
	l.records = slices.Clone(l.records[base-l.base:])
	l.base, l.baseTerm = base, term
	for len(l.memberships) > 1 && l.memberships[1].index <= base {
		l.memberships = l.memberships[1:]
	}
}

// tail returns the records after a snapshot if they belong to the same log. A leader may have counted them
// for a commit, so they must not be lost.
func (l *log) tail(s *wire.VoterSnapshot) []*wire.LogRecord {
	if term, ok := l.term(s.Index); ok && term == s.Term {
		return append([]*wire.LogRecord(nil), l.between(s.Index+1, l.last())...)
	}
	return nil
}

// reset replaces the whole log by a snapshot and the records after it.
func (l *log) reset(s *wire.VoterSnapshot) {
	tail := l.tail(s)
	*l = log{base: s.Index, baseTerm: s.Term, snapshot: s}
	l.memberships = []indexedMembership{{s.Index, s.Membership}}
	if len(tail) > 0 {
		l.replaceFrom(tail)
	}
}

// membership returns the membership in force: the last one in the log, committed or not.
func (l *log) membership() indexedMembership {
	if n := len(l.memberships); n > 0 {
		return l.memberships[n-1]
	}
	return indexedMembership{membership: &wire.Membership{}}
}

// membershipAt returns a copy of the membership as of index.
func (l *log) membershipAt(index uint64) *wire.Membership {
	var found *wire.Membership
	for _, p := range l.memberships {
		if p.index <= index {
			found = p.membership
		}
	}
	return proto.CloneOf(found)
}
