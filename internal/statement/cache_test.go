package statement_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/statement"
)

const enrollment = "SELECT c.id, c.name, c.seats - count(e.id) FROM class c LEFT JOIN enrollment e ON e.class = c.id " +
	"WHERE c.term = $1 AND c.name LIKE $2 GROUP BY c.id ORDER BY c.name LIMIT 20"

// Guards against an unbounded cache, against caching very long texts, and against returning a wrong entry.
func TestCache(t *testing.T) {
	c := statement.NewCache(10)
	for i := range 100 {
		s, err := c.Classify(fmt.Sprintf("SELECT %d", i))
		require.NoError(t, err)
		require.Equal(t, statement.Read, s.Kind)
	}
	require.Equal(t, 10, c.Len())
	again, err := c.Classify("SELECT 99")
	require.NoError(t, err)
	require.Equal(t, "SELECT 99", again.Text)
	for range 2 {
		_, err = c.Classify("SELEC 1")
		require.Error(t, err)
	}
	small := statement.NewCache(10)
	_, err = small.Classify("SELECT '" + strings.Repeat("a", 100_000) + "'")
	require.NoError(t, err)
	require.Zero(t, small.Len())
}

// Guards against data races in the shared cache.
func TestCacheConcurrent(t *testing.T) {
	c := statement.NewCache(8)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 200 {
				text := fmt.Sprintf("SELECT %d", (g+i)%16)
				if s, err := c.Classify(text); err != nil || s.Text != text {
					t.Errorf("%s: %v %v", text, s, err)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against allocations on the path of every statement.
func TestCacheHitAllocations(t *testing.T) {
	c := statement.NewCache(8)
	_, _ = c.Classify(enrollment)
	require.Zero(t, testing.AllocsPerRun(1000, func() { _, _ = c.Classify(enrollment) }))
}

func BenchmarkClassifyMiss(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _ = statement.Classify(enrollment)
	}
}

func BenchmarkClassifyHit(b *testing.B) {
	c := statement.NewCache(1000)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Classify(enrollment)
	}
}
