// Package position compares places in the logs of database groups whose primary changes.
package position

import "fmt"

// Term numbers the primaries of a database group. Each failover raises it.
type Term uint64

// Offset is a place in the log of a database group, in log records.
type Offset uint64

// Position is a place in the log of a database group under one term.
// Positions of different terms compare only through a History.
type Position struct {
	Term   Term
	Offset Offset
}

// IsZero reports whether the position is before every record.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Less orders positions by term, then offset. It is the order in which a promotion prefers
// candidates, given the term of the last record; it is not coverage, see History.Covers.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// String writes the position as term/offset.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

// Parse reads a position as String writes it.
func Parse(text string) (Position, error) {
	var p Position
	var rest string
	n, _ := fmt.Sscanf(text, "%d/%d%s", &p.Term, &p.Offset, &rest)
	if n != 2 {
		return Position{}, fmt.Errorf("position: %q is not of the form term/offset, such as 3/1200", text)
	}
	return p, nil
}
