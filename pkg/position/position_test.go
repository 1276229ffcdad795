package position_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Guards against treating the longer log of a superseded primary as newer.
func TestHistoryCovers(t *testing.T) {
	h := position.History{{Term: 1}, {Term: 2, Offset: 100}, {Term: 4, Offset: 150}}
	at := func(term position.Term, offset position.Offset) position.Position {
		return position.Position{Term: term, Offset: offset}
	}
	require.True(t, h.Covers(at(1, 5), at(1, 5)))
	require.False(t, h.Covers(at(1, 4), at(1, 5)))
	require.False(t, h.Covers(at(1, 500), at(2, 101)), "a lower term never covers the floor")
	require.True(t, h.Covers(at(2, 100), at(1, 400)), "no record beyond the start of the next term was acknowledged")
	require.False(t, h.Covers(at(2, 99), at(1, 400)))
	require.True(t, h.Covers(at(4, 150), at(2, 149)))
	require.False(t, h.Covers(at(4, 148), at(2, 149)))
	require.False(t, position.History{}.Covers(at(2, 9), at(1, 1)), "without the start of the next term, coverage is unknown")
}

// Guards against losing the starts of terms when a history is sent as text.
func TestHistoryText(t *testing.T) {
	h := position.History{{Term: 1}, {Term: 3, Offset: 7}}
	back, err := position.ParseHistory(h.String())
	require.NoError(t, err)
	require.Equal(t, h, back)
	_, err = position.ParseHistory("3/7,1/0")
	require.Error(t, err)
	_, err = position.Parse("3/7x")
	require.Error(t, err)
}

// Guards against confirming a write whose term is not part of the promoted log: the log of term 3 below extends
// beyond the offset of the write, but contains other records there.
func TestHistoryContains(t *testing.T) {
	write := position.Position{Term: 2, Offset: 5}
	require.False(t, position.History{{Term: 1}, {Term: 3, Offset: 6}}.Contains(write))
	require.True(t, position.History{{Term: 1}, {Term: 2, Offset: 4}, {Term: 3, Offset: 6}}.Contains(write))
	require.True(t, position.History{{Term: 1}, {Term: 2, Offset: 4}}.Contains(write))
	require.False(t, position.History{{Term: 1}, {Term: 2, Offset: 4}, {Term: 3, Offset: 4}}.Contains(write))
	require.False(t, position.History{{Term: 2, Offset: 5}}.Contains(write), "the record is not after the start of its term")
}
