package tracker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sycamorerun"
)

var start = time.Unix(2_000_000, 0).UTC()

// at returns the time that is the given seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// peerRecord returns a record of node 1 as a peer sends it.
func peerRecord(count int64, sequence uint64, change func(r *record)) *record {
	self := instance(1, "a1")
	self.Incarnation, self.Sequence, self.State = incarnation(count, 7), sequence, sycamorerun.StateReady
	r := &record{Instance: self, key: newKey(self.Name), inactiveSince: start}
	if change != nil {
		change(r)
	}
	return r
}

func setSuspect(r *record) { r.health = suspect }
func setLeft(r *record)    { r.State = sycamorerun.StateLeft }

// TestMerge guards against old, duplicate and reordered records that override
// newer ones, and against refutations that have no effect.
func TestMerge(t *testing.T) {
	type step struct {
		at      float64
		in      *record
		flooded bool
	}
	cases := map[string]struct {
		steps []step
		// now is the time at which the record is checked.
		now    float64
		live   bool
		health health
	}{
		"new":                       {[]step{{0, peerRecord(1, 1, nil), true}}, 0, true, alive},
		"duplicate":                 {[]step{{0, peerRecord(1, 1, nil), true}, {1, peerRecord(1, 1, nil), false}}, 1, true, alive},
		"reordered":                 {[]step{{0, peerRecord(1, 3, nil), true}, {1, peerRecord(1, 2, setLeft), false}}, 1, true, alive},
		"suspected":                 {[]step{{0, peerRecord(1, 1, nil), true}, {1, peerRecord(1, 1, setSuspect), true}}, 3.9, true, suspect},
		"suspected twice":           {[]step{{0, peerRecord(1, 1, nil), true}, {1, peerRecord(1, 1, setSuspect), true}, {3, peerRecord(1, 1, setSuspect), false}}, 4, false, failed},
		"suspected, then repeated":  {[]step{{0, peerRecord(1, 1, nil), true}, {1, peerRecord(1, 1, setSuspect), true}, {2, peerRecord(1, 1, nil), false}}, 2, true, suspect},
		"refuted":                   {[]step{{0, peerRecord(1, 1, nil), true}, {1, peerRecord(1, 1, setSuspect), true}, {2, peerRecord(1, 2, nil), true}}, 60, true, alive},
		"refuted before suspicion":  {[]step{{0, peerRecord(1, 2, nil), true}, {1, peerRecord(1, 1, setSuspect), false}}, 60, true, alive},
		"old suspicion after it":    {[]step{{0, peerRecord(1, 1, nil), true}, {1, peerRecord(1, 2, nil), true}, {2, peerRecord(1, 1, setSuspect), false}}, 60, true, alive},
		"refuted when failed":       {[]step{{0, peerRecord(1, 1, nil), true}, {1, peerRecord(1, 1, setSuspect), true}, {60, peerRecord(1, 2, nil), true}}, 61, true, alive},
		"old record after failure":  {[]step{{0, peerRecord(1, 5, nil), true}, {1, peerRecord(1, 5, setSuspect), true}, {599, peerRecord(1, 5, nil), false}}, 599, false, failed},
		"old record after leaving":  {[]step{{0, peerRecord(1, 5, setLeft), true}, {500, peerRecord(1, 4, nil), false}}, 500, false, alive},
		"suspicion after leaving":   {[]step{{0, peerRecord(1, 5, setLeft), true}, {1, peerRecord(1, 5, setSuspect), false}}, 10, false, alive},
		"old record after restart":  {[]step{{0, peerRecord(2, 1, nil), true}, {1, peerRecord(1, 900, nil), false}}, 1, true, alive},
		"old leave after restart":   {[]step{{0, peerRecord(2, 1, nil), true}, {1, peerRecord(1, 900, setLeft), false}}, 1, true, alive},
		"restart after failure":     {[]step{{0, peerRecord(1, 9, setSuspect), true}, {10, peerRecord(2, 1, nil), true}}, 10, true, alive},
		"unknown, failed long ago":  {[]step{{0, peerRecord(1, 1, setSuspect), true}, {200, peerRecord(1, 1, nil), false}}, 200, false, failed},
		"unknown, about forgotten":  {[]step{{560, peerRecord(1, 1, setSuspect), false}, {561, peerRecord(1, 1, nil), true}}, 561, true, alive},
		"live here, lost elsewhere": {[]step{{0, peerRecord(1, 1, nil), true}, {300, peerRecord(1, 2, setSuspect), true}}, 302, true, suspect},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
			for _, step := range test.steps {
				table.tick(at(step.at))
				in := *step.in
				is.Equal(table.merge(at(step.at), &in), step.flooded)
			}
			table.tick(at(test.now))
			got := table.records["node-0001"]
			is.Equal(got.health, test.health)
			is.Equal(got.live(), test.live)
			is.Equal(len(table.live()) == 2, test.live)
		})
	}
}

// TestRetention guards against records of failed and left nodes that stay in
// memory or in the digest.
func TestRetention(t *testing.T) {
	for name, change := range map[string]func(*record){"failed": setSuspect, "left": setLeft} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, other := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout), newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
			table.merge(start, peerRecord(1, 1, change))
			table.tick(at(538))
			is.True(table.digest() != other.digest())
			table.tick(at(541))
			is.Equal(table.digest(), other.digest())
			is.Equal(len(table.records), 2)
			table.tick(at(600))
			is.Equal(len(table.records), 1)
			is.Equal(len(table.expiring), 0)
		})
	}
}

// TestRefute guards against a live node that stays failed in other tables, or
// is superseded there by records of an earlier run.
func TestRefute(t *testing.T) {
	own := func(count int64, boot uint32, sequence uint64, change func(*record)) *record {
		r := peerRecord(1, sequence, change)
		r.Instance.Name, r.Incarnation = "node-0000", incarnation(count, boot)
		return r
	}
	cases := map[string]struct {
		in *record
		// sequence and count are those of the node's record afterwards.
		sequence uint64
		count    int64
	}{
		"own record returns":              {own(1000, 7, 1, nil), 1, 1000},
		"suspected":                       {own(1000, 7, 1, setSuspect), 2, 1000},
		"suspected before a refutation":   {own(1000, 7, 0, setSuspect), 1, 1000},
		"restart in one incarnation":      {own(1000, 7, 77, nil), 78, 1000},
		"suspected in one incarnation":    {own(1000, 7, 77, setSuspect), 78, 1000},
		"earlier run":                     {own(999, 9, 77, nil), 1, 1000},
		"earlier run with a later count":  {own(1001, 9, 77, setLeft), 2, 1002},
		"earlier run with a larger boot":  {own(1000, 9, 77, nil), 2, 1001},
		"earlier run with a smaller boot": {own(1000, 5, 77, nil), 1, 1000},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
			is.True(!table.merge(start, test.in))
			table.tick(at(1))
			got := table.records["node-0000"]
			is.Equal(got.Sequence, test.sequence)
			is.Equal(got.Incarnation, incarnation(test.count, 7))
			is.Equal(got.State, sycamorerun.StateNone)
			is.Equal(len(table.pending) > 0, test.sequence > 1)
		})
	}
}

// TestResume guards against a node that resumes after a pause and declares
// nodes failed whose refutations it has not read yet.
func TestResume(t *testing.T) {
	is := is.New(t)
	table := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
	table.merge(start, peerRecord(1, 1, nil))
	table.markSuspect(at(1), "node-0001")
	table.resume(at(100))
	table.tick(at(100))
	is.Equal(table.suspects(), []string{"node-0001"})
	table.tick(at(103))
	is.Equal(len(table.live()), 1)
}

// TestAnnouncementTimeout guards against an upstream that stays in use after
// its announcements have stopped.
func TestAnnouncementTimeout(t *testing.T) {
	is := is.New(t)
	table := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
	state := func(seconds float64) sycamorerun.State {
		table.tick(at(seconds))
		return table.records["node-0000"].State
	}
	is.True(table.announce(start, "quote-desk", sycamorerun.StateReady, 6, ""))
	is.True(!table.announce(at(4), "quote-desk", sycamorerun.StateReady, 6, ""))
	is.Equal(state(8.9), sycamorerun.StateReady)
	is.Equal(state(9), sycamorerun.StateDraining)
	is.Equal(state(13.9), sycamorerun.StateDraining)
	is.Equal(state(14), sycamorerun.StateNone)
	is.True(table.announce(at(20), "quote-desk", sycamorerun.StateReady, 6, ""))
	table.leave(at(21))
	is.True(!table.announce(at(22), "quote-desk", sycamorerun.StateReady, 6, ""))
	is.Equal(state(60), sycamorerun.StateLeft)
}

// filledTable returns a table with n records in the given number of
// availability zones.
func filledTable(n, zones int) *table {
	table := newTable(start, instance(0, "a0"), defaultTiming.suspicionTimeout)
	for i := 1; i < n; i++ {
		self := instance(i, fmt.Sprintf("a%d", i%zones))
		self.Sequence, self.State, self.Service, self.Slots = 1, sycamorerun.StateReady, "quote-desk", 6
		table.merge(start, &record{Instance: self, key: newKey(self.Name), inactiveSince: start})
	}
	table.pending = nil
	return table
}

// exchange passes frames between two tables for ten rounds and returns the
// bytes sent.
func exchange(now time.Time, a, b *table) int {
	linkA, linkB := &link{outbound: true, dirty: map[string]struct{}{}}, &link{dirty: map[string]struct{}{}}
	linkA.sendHeartbeat = true
	sentBytes := 0
	for range 10 {
		for _, frame := range a.buildFrames(now, linkA, 1) {
			sentBytes += proto.Size(frame)
			_ = b.applyFrame(now, linkB, frame)
		}
		for _, frame := range b.buildFrames(now, linkB, 1) {
			sentBytes += proto.Size(frame)
			_ = a.applyFrame(now, linkA, frame)
		}
	}
	return sentBytes
}

// TestExchange guards against tables that still differ after a partition has
// healed.
func TestExchange(t *testing.T) {
	cases := map[string]func(a, b *table){
		"equal":            func(_, _ *table) {},
		"one is empty":     func(_, b *table) { *b = *newTable(start, instance(5000, "b1"), defaultTiming.suspicionTimeout) },
		"the other one is": func(a, _ *table) { *a = *newTable(start, instance(5000, "b1"), defaultTiming.suspicionTimeout) },
		"both changed": func(a, b *table) {
			random := rand.New(rand.NewPCG(1, 2))
			for i := range 200 {
				table := []*table{a, b}[i%2]
				r := *table.records[fmt.Sprintf("node-%04d", 1+random.IntN(999))]
				r.Sequence, r.inDigest = uint64(2+random.IntN(5)), false
				table.put(at(1), &r)
				table.markSuspect(at(1), fmt.Sprintf("node-%04d", 1+random.IntN(999)))
			}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := filledTable(1000, 5), filledTable(1000, 5)
			change(a, b)
			sentBytes := exchange(at(2), a, b)
			is.Equal(a.digest(), b.digest())
			is.Equal(len(a.records), len(b.records))
			is.True(name != "equal" || sentBytes < 100)
		})
	}
}

// TestRecordProbes guards against a partition in which every member of a zone
// is suspected and has to refute, and against single failures that are taken
// for a partition.
func TestRecordProbes(t *testing.T) {
	names := []string{"node-0006", "node-0011", "node-0016", "node-0021"}
	cases := map[string]struct {
		peer        string
		links       int
		probed      int
		failed      []string
		unreachable []string
		suspects    int
	}{
		"node in own zone failed":        {"node-0005", 3, 4, nil, nil, 1},
		"rack in own zone failed":        {"node-0005", 3, 4, []string{"node-0010", "node-0015", "node-0020", "node-0025"}, nil, 5},
		"alone in own zone":              {"node-0005", 0, 4, []string{"node-0010", "node-0015", "node-0020", "node-0025"}, []string{"a0"}, 0},
		"node in another zone failed":    {"node-0001", 3, 4, names[:1], nil, 2},
		"another zone is cut off":        {"node-0001", 3, 4, names, []string{"a1"}, 0},
		"another zone has few members":   {"node-0001", 3, 2, names[:2], nil, 3},
		"peer that is not known anymore": {"node-9999", 3, 4, names, nil, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := filledTable(50, 5)
			table.recordProbes(at(1), test.peer, test.links, test.probed, test.failed)
			is.Equal(table.records["node-0000"].unreachable, test.unreachable)
			is.Equal(len(table.suspects()), test.suspects)
		})
	}
}

// TestZones guards against plans and lists with zones that no other zone can
// reach, and against zones that stay excluded after the partition has healed.
func TestZones(t *testing.T) {
	is := is.New(t)
	table := filledTable(30, 3)
	report := func(seconds float64, i int, sequence uint64, zones ...string) {
		self := instance(i, fmt.Sprintf("a%d", i%3))
		self.Sequence = sequence
		table.merge(at(seconds), &record{Instance: self, key: newKey(self.Name), unreachable: zones})
		table.tick(at(seconds))
	}
	count := func() [2]int { return [2]int{len(table.reachable()), len(table.live())} }
	report(1, 1, 2, "a2") // only another zone reports a2
	is.Equal(count(), [2]int{30, 30})
	report(2, 3, 2, "a2") // all other zones report a2
	is.Equal(count(), [2]int{20, 20})
	report(3, 1, 3) // the other zone withdraws its report
	is.Equal(count(), [2]int{20, 30})
	report(4, 1, 4, "a2")
	table.markSuspect(at(5), "node-0003") // the reporting member fails
	table.tick(at(8))
	is.Equal(count(), [2]int{29, 29})
	table.reportUnreachable(at(9), "a2")
	table.tick(at(9))
	is.Equal(count(), [2]int{19, 19})
	table.tick(at(9 + 600)) // the records of a2 and of node 3 are removed
	is.Equal(len(table.records), 19)
	table.withdrawReport(at(610), "a2")
	table.reportUnreachable(at(611), "a0")
	table.tick(at(611))
	is.Equal(count()[0], 1)
}

// TestInvalidRecords guards against records that exhaust the memory, can't be
// refuted or are invalid.
func TestInvalidRecords(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	cases := map[string]func(r *Record){
		"no name":          func(r *Record) { r.Name = "" },
		"long name":        func(r *Record) { r.Name = long },
		"no zone":          func(r *Record) { r.AvailabilityZone = "" },
		"long region":      func(r *Record) { r.Region = long },
		"long service":     func(r *Record) { r.Service = long },
		"no address":       func(r *Record) { r.Address = nil },
		"bad address":      func(r *Record) { r.Address = []byte{1} },
		"state":            func(r *Record) { r.State = uint32(len(wireStates)) },
		"no incarnation":   func(r *Record) { r.Incarnation = 0 },
		"largest count":    func(r *Record) { r.Incarnation = (1<<30 + 1) << 32 },
		"largest sequence": func(r *Record) { r.Sequence = maxSequence + 1 },
		"many zones":       func(r *Record) { r.Unreachable = slices.Repeat([]string{"z"}, maxUnreachableZones+1) },
		"unnamed zone":     func(r *Record) { r.Unreachable = []string{""} },
		"many slots":       func(r *Record) { r.Slots = sycamorerun.MaxSlots + 1 },
	}
	_, err := decode(start, encode(start, peerRecord(1, 1, nil)))
	is.New(t).NoErr(err)
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			message := encode(start, peerRecord(1, 1, nil))
			change(message)
			table := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
			is.True(table.applyFrame(start, newLink(start, nil, true), &Frame{Records: []*Record{message}}) != nil)
			is.Equal(len(table.records), 1)
		})
	}
}

// TestAnnouncedSlots guards against a node that all peers reject because its
// upstream announced more slots than a record may have.
func TestAnnouncedSlots(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{1, sycamorerun.MaxSlots, sycamorerun.MaxSlots + 1, 1 << 32, 1<<32 + 1, 1 << 53} {
		table := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
		table.announce(start, "s", sycamorerun.StateReady, slots, "")
		sent, err := decode(start, encode(start, table.records["node-0000"]))
		is.NoErr(err)
		is.Equal(sent.Slots, min(slots, sycamorerun.MaxSlots))
	}
}

// FuzzFrame guards against frames that crash the tracker or corrupt the digest.
func FuzzFrame(f *testing.F) {
	source := filledTable(3, 1)
	source.markSuspect(start, "node-0002")
	l := &link{dirty: map[string]struct{}{}, sendHeartbeat: true, sendBuckets: true, entryBuckets: []uint32{1, 300}, wants: []uint64{1}}
	l.markDirty([]string{"node-0000", "node-0001", "node-0002"})
	seed, _ := proto.Marshal(source.buildFrames(start, l, 7)[0])
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &Frame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		table := filledTable(3, 1)
		_ = table.applyFrame(at(1), &link{peer: "x", dirty: map[string]struct{}{}}, frame)
		table.tick(at(2))
		table.live()
		var buckets [bucketCount]uint64
		for _, r := range table.records {
			if r.inDigest {
				buckets[bucket(r.key)] += r.checksum()
			}
			again, err := decode(at(2), encode(at(2), r))
			if err != nil || again.stamp() != r.stamp() || again.Name != r.Name {
				t.Fatalf("error %v after encoding and decoding record %v, got %v", err, r, again)
			}
		}
		if buckets != table.buckets {
			t.Fatal("digests of the buckets differ from the checksums of the records")
		}
	})
}

// TestLiveIsPatched guards against a patched list that differs from a rebuilt
// one.
func TestLiveIsPatched(t *testing.T) {
	is := is.New(t)
	table := filledTable(300, 3)
	random := rand.New(rand.NewPCG(3, 4))
	for round := range 100 {
		for range 1 + random.IntN(10) {
			i := 1 + random.IntN(400)
			r := &record{Instance: instance(i, fmt.Sprintf("a%d", i%3)), health: health(random.IntN(3)), inactiveSince: at(float64(round))}
			r.key = newKey(r.Name)
			table.replace(at(float64(round)), r)
		}
		patched := table.live()
		table.liveList = nil
		is.Equal(patched, table.live())
	}
}
