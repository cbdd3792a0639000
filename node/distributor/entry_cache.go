package distributor

import (
	"cmp"
	"slices"

	"sycamorerun"
)

const (
	maxCachedEntries = 1024
	maxCachedBytes   = 4 << 20
)

// entryCache holds the newest entries in their stored encoding. Each entry is
// based on the version of its predecessor.
type entryCache struct {
	entries []cachedEntry
	bytes   int
}

// cachedEntry is an entry in its stored encoding.
type cachedEntry struct {
	version, base sycamorerun.Version
	data          []byte
}

// add appends an entry and evicts the oldest ones beyond the limits. An entry that
// is not based on the last one replaces all others, since a reply with a gap is
// useless.
func (c *entryCache) add(version, base sycamorerun.Version, data []byte) {
	if n := len(c.entries); n > 0 && c.entries[n-1].version != base {
		*c = entryCache{}
	}
	c.entries = append(c.entries, cachedEntry{version, base, data})
	c.bytes += len(data)
	for len(c.entries) > maxCachedEntries || c.bytes > maxCachedBytes && len(c.entries) > 1 {
		c.bytes -= len(c.entries[0].data)
		c.entries[0] = cachedEntry{}
		c.entries = c.entries[1:]
	}
}

// search returns the index of the first entry at or above version, and whether
// that entry has exactly that version.
func (c *entryCache) search(version sycamorerun.Version) (int, bool) {
	return slices.BinarySearchFunc(c.entries, version, func(e cachedEntry, version sycamorerun.Version) int {
		return cmp.Compare(e.version, version)
	})
}

func (c *entryCache) get(version sycamorerun.Version) ([]byte, bool) {
	i, ok := c.search(version)
	if !ok {
		return nil, false
	}
	return c.entries[i].data, true
}

// after returns the entries above version and their total size, or false if the
// cache is empty or the first of these entries is not based on version.
func (c *entryCache) after(version sycamorerun.Version) (entries [][]byte, bytes int, ok bool) {
	n := len(c.entries)
	if n == 0 {
		return nil, 0, false
	}
	first, _ := c.search(version + 1)
	if first < n && c.entries[first].base != version {
		return nil, 0, false
	}
	for _, entry := range c.entries[first:] {
		entries = append(entries, entry.data)
		bytes += len(entry.data)
	}
	return entries, bytes, true
}
