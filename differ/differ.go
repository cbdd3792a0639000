// Package differ computes and applies differences between trees and hashes trees.
package differ

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"sycamorerun"
)

// Compare returns the difference that turns before into after.
func Compare(before, after map[sycamorerun.Path]sycamorerun.Item) sycamorerun.Difference {
	difference := sycamorerun.Difference{Put: map[sycamorerun.Path]sycamorerun.Item{}}
	for path, item := range after {
		if old, ok := before[path]; !ok || !bytes.Equal(old, item) {
			difference.Put[path] = item
		}
	}
	for _, path := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[path]; !ok {
			difference.Remove = append(difference.Remove, path)
		}
	}
	return difference
}

// Apply returns a copy of tree with the difference applied and the given
// version.
func Apply(tree sycamorerun.Tree, version sycamorerun.Version, difference sycamorerun.Difference) sycamorerun.Tree {
	next := tree.Clone()
	next.Version = version
	maps.Copy(next.Items, difference.Put)
	for _, path := range difference.Remove {
		delete(next.Items, path)
	}
	return next
}

// Hash returns the SHA-256 of the items in path order. Each path and item is
// preceded by its length, so that different trees have different encodings.
func Hash(items map[sycamorerun.Path]sycamorerun.Item) sycamorerun.Hash {
	digest := sha256.New()
	var length [8]byte
	write := func(data []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(data)))
		digest.Write(length[:])
		digest.Write(data)
	}
	for _, path := range slices.Sorted(maps.Keys(items)) {
		write([]byte(path))
		write(items[path])
	}
	var hash sycamorerun.Hash
	digest.Sum(hash[:0])
	return hash
}
