package distributor

import (
	"cmp"
	"slices"

	"sycamorerun"
)

const (
	ringEntries = 1024
	ringBytes   = 4 << 20
)

// ring holds the newest entries in their stored form. Each one is based on the
// version of the one before it.
type ring struct {
	entries []kept
	bytes   int
}

// kept is an entry in its stored form.
type kept struct {
	version, base sycamorerun.Version
	data          []byte
}

// chain appends an entry. One that is not based on the last one replaces the
// content, since an answer with a gap is of no use.
func (r *ring) chain(version, base sycamorerun.Version, data []byte) {
	if n := len(r.entries); n > 0 && r.entries[n-1].version != base {
		*r = ring{}
	}
	r.entries = append(r.entries, kept{version, base, data})
	r.bytes += len(data)
	for len(r.entries) > ringEntries || r.bytes > ringBytes && len(r.entries) > 1 {
		r.bytes -= len(r.entries[0].data)
		r.entries[0] = kept{}
		r.entries = r.entries[1:]
	}
}

// search returns the position of the first entry of version or above.
func (r *ring) search(version sycamorerun.Version) (int, bool) {
	return slices.BinarySearchFunc(r.entries, version, func(e kept, version sycamorerun.Version) int {
		return cmp.Compare(e.version, version)
	})
}

func (r *ring) get(version sycamorerun.Version) ([]byte, bool) {
	i, ok := r.search(version)
	if !ok {
		return nil, false
	}
	return r.entries[i].data, true
}

// after returns the entries above version and their size, or false when none
// of them is based on version.
func (r *ring) after(version sycamorerun.Version) (entries [][]byte, bytes int, ok bool) {
	n := len(r.entries)
	if n == 0 {
		return nil, 0, false
	}
	first, _ := r.search(version + 1)
	if first < n && r.entries[first].base != version {
		return nil, 0, false
	}
	for _, entry := range r.entries[first:] {
		entries = append(entries, entry.data)
		bytes += len(entry.data)
	}
	return entries, bytes, true
}
