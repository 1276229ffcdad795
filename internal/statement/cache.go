package statement

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxCachedLength is the longest text kept, in bytes. It bounds the memory of a cache to its size times
// a few times this length; longer texts are bulk statements that seldom repeat.
const maxCachedLength = 8 << 10

// Cache keeps the classifications of recent texts. It is safe for concurrent use.
type Cache struct {
	entries *lru.Cache[string, cacheEntry]
}

// cacheEntry is what Classify returned. Syntax errors are kept as well, so that a caller that repeats a
// broken text does not cost a parse each time.
type cacheEntry struct {
	statement *Statement
	err       error
}

// NewCache returns a cache of the given number of texts, at least one.
func NewCache(size int) *Cache {
	entries, err := lru.New[string, cacheEntry](max(size, 1))
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &Cache{entries: entries}
}

// Classify returns what the function Classify returns. The statement is shared and must not be
// changed. A hit allocates nothing.
func (c *Cache) Classify(sql string) (*Statement, error) {
	if e, ok := c.entries.Get(sql); ok {
		return e.statement, e.err
	}
	s, err := Classify(sql)
	if len(sql) <= maxCachedLength {
		c.entries.Add(sql, cacheEntry{statement: &s, err: err})
	}
	return &s, err
}

// Len returns the number of texts kept.
func (c *Cache) Len() int {
	return c.entries.Len()
}
