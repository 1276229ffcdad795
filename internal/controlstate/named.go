package controlstate

import (
	"cmp"
	"slices"
)

// The lists of the state are sorted by name and shared with those who read them, so a change returns a copy.

func identity(name string) string { return name }

// findNamed returns the index of the named element in a list sorted by name, or the index at which to insert
// it.
func findNamed[T any](list []T, name string, key func(T) string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(t T, name string) int {
		return cmp.Compare(key(t), name)
	})
}

func getNamed[T any](list []T, name string, key func(T) string) (T, bool) {
	i, ok := findNamed(list, name, key)
	if !ok {
		var none T
		return none, false
	}
	return list[i], true
}

// putNamed returns a copy of the sorted list with the element inserted or replaced.
func putNamed[T any](list []T, element T, key func(T) string) []T {
	i, ok := findNamed(list, key(element), key)
	size := len(list) + 1
	if ok {
		size--
	}
	next := make([]T, 0, size)
	next = append(next, list[:i]...)
	next = append(next, element)
	if ok {
		i++
	}
	return append(next, list[i:]...)
}

// removeNamed returns a copy of the list without the named element, or the list itself if it has no such
// element.
func removeNamed[T any](list []T, name string, key func(T) string) []T {
	i, ok := findNamed(list, name, key)
	if !ok {
		return list
	}
	next := make([]T, 0, len(list)-1)
	next = append(next, list[:i]...)
	return append(next, list[i+1:]...)
}

// sorted reports whether the names strictly increase.
func sorted[T any](list []T, key func(T) string) bool {
	for i := 1; i < len(list); i++ {
		if key(list[i-1]) >= key(list[i]) {
			return false
		}
	}
	return true
}
