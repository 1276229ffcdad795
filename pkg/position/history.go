package position

import (
	"fmt"
	"strings"
)

// History lists the positions at which the terms of a log start.
// Terms strictly increase; offsets never decrease.
type History []Position

// Covers reports whether an instance at the given position, whose log has this history, has all acknowledged
// records up to floor. An instance in a lower term never covers the floor. Records of the floor's term beyond
// the start of the next term belong to a superseded branch and were never acknowledged, so only the records
// before that start are required.
func (h History) Covers(at, floor Position) bool {
	if floor.IsZero() {
		return true
	}
	if at.Term < floor.Term {
		return false
	}
	if at.Term == floor.Term {
		return at.Offset >= floor.Offset
	}
	next, ok := h.After(floor.Term)
	if !ok {
		return false
	}
	return at.Offset >= min(floor.Offset, next.Offset)
}

// After returns the start of the first term that follows the given one.
func (h History) After(term Term) (Position, bool) {
	for _, start := range h {
		if start.Term > term {
			return start, true
		}
	}
	return Position{}, false
}

// Contains reports whether the record at p is part of the log that has this history. The history must be that
// of the log itself: a log without the term of p contains none of its records, even if the log extends beyond
// the offset of p.
func (h History) Contains(p Position) bool {
	for i, start := range h {
		if start.Term != p.Term {
			continue
		}
		if p.Offset <= start.Offset {
			return false
		}
		return i+1 == len(h) || p.Offset <= h[i+1].Offset
	}
	return false
}

// String returns the starts separated by commas.
func (h History) String() string {
	starts := make([]string, len(h))
	for i, start := range h {
		starts[i] = start.String()
	}
	return strings.Join(starts, ",")
}

// ParseHistory parses a history in the format of String.
func ParseHistory(text string) (History, error) {
	if text == "" {
		return nil, nil
	}
	parts := strings.Split(text, ",")
	h := make(History, 0, len(parts))
	for _, part := range parts {
		start, err := Parse(part)
		if err != nil {
			return nil, err
		}
		if n := len(h); n > 0 && (start.Term <= h[n-1].Term || start.Offset < h[n-1].Offset) {
			return nil, fmt.Errorf("position: history %q is not in order of terms", text)
		}
		h = append(h, start)
	}
	return h, nil
}
