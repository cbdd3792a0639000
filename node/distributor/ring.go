package distributor

import "sycamorerun"

const (
	ringEntries = 1024
	ringBytes   = 4 << 20
)

// ring holds the newest entries in their stored form, without gaps.
type ring struct {
	first   sycamorerun.Version
	entries [][]byte
	bytes   int
}

// add appends the entry of version. An entry that does not follow the last one
// replaces the content, since an answer with a gap is of no use.
func (r *ring) add(version sycamorerun.Version, data []byte) {
	if version != r.first+sycamorerun.Version(len(r.entries)) {
		*r = ring{first: version}
	}
	r.entries = append(r.entries, data)
	r.bytes += len(data)
	for len(r.entries) > ringEntries || r.bytes > ringBytes && len(r.entries) > 1 {
		r.bytes -= len(r.entries[0])
		r.entries[0] = nil
		r.entries = r.entries[1:]
		r.first++
	}
}

func (r *ring) get(version sycamorerun.Version) ([]byte, bool) {
	if version < r.first || version >= r.first+sycamorerun.Version(len(r.entries)) {
		return nil, false
	}
	return r.entries[version-r.first], true
}

// after returns the entries above version and their size, or false when the
// ring does not reach back that far.
func (r *ring) after(version sycamorerun.Version) (entries [][]byte, bytes int, ok bool) {
	if version+1 < r.first || len(r.entries) == 0 {
		return nil, 0, false
	}
	skip := min(int(version+1-r.first), len(r.entries))
	for _, data := range r.entries[skip:] {
		bytes += len(data)
	}
	return r.entries[skip:], bytes, true
}
