package statement

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxCachedLength is the length in bytes of the longest text that is cached. It bounds the memory of a cache
// to a small multiple of its size times this length. Longer texts are bulk statements that seldom repeat.
const maxCachedLength = 8 << 10

// Cache is an LRU cache of classifications. It is safe for concurrent use.
type Cache struct {
	entries *lru.Cache[string, cacheEntry]
}

// cacheEntry is a result of Classify. Syntax errors are cached as well, so that a caller that repeats an
// invalid text does not cause a parse each time.
type cacheEntry struct {
	statement *Statement
	err       error
}

// NewCache returns a cache for the given number of texts, at least one.
func NewCache(size int) *Cache {
	entries, err := lru.New[string, cacheEntry](max(size, 1))
	if err != nil {
		panic(err) // lru.New fails only for a size below one
	}
	return &Cache{entries: entries}
}

// Classify returns the result of the function Classify, from the cache if possible. The statement is shared and
// must not be modified. A cache hit does not allocate.
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

// Len returns the number of cached texts.
func (c *Cache) Len() int {
	return c.entries.Len()
}
