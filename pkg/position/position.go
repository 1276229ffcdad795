// Package position compares log positions of database groups across changes of the primary.
package position

import "fmt"

// Term numbers the primaries of a database group. Each failover increases it.
type Term uint64

// Offset is an offset in the log of a database group, counted in log records.
type Offset uint64

// Position is an offset in the log of a database group in one term.
// Positions of different terms are comparable only with a History.
type Position struct {
	Term   Term
	Offset Offset
}

// IsZero reports whether the position is before every record.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Less orders positions by term, then offset. A promotion prefers candidates in this order, by the term of
// their last record. It does not determine whether one log covers another; see History.Covers.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// String returns the position as term/offset.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

// Parse parses a position in the format of String.
func Parse(text string) (Position, error) {
	var p Position
	var rest string
	n, _ := fmt.Sscanf(text, "%d/%d%s", &p.Term, &p.Offset, &rest)
	if n != 2 {
		return Position{}, fmt.Errorf("position: %q is not of the form term/offset, such as 3/1200", text)
	}
	return p, nil
}
