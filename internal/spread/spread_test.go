package spread_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/spread"
)

// TestFractionsAreSpread guards against names that differ in their last byte only and fall close together.
func TestFractionsAreSpread(t *testing.T) {
	const names, parts = 1000, 10
	var count [parts]int
	for i := range names {
		count[int(spread.Fraction("account", strconv.Itoa(i))*parts)]++
	}
	for _, n := range count {
		require.InDelta(t, names/parts, n, 40)
	}
}

// TestNamesAreSeparated guards against lists of names that are equal when joined.
func TestNamesAreSeparated(t *testing.T) {
	require.NotEqual(t, spread.Hash("ab", "c"), spread.Hash("a", "bc"))
}
