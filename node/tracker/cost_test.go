package tracker

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"sycamorerun"
	"sycamorerun/node/planner"
)

// fleetSize is the number of nodes expected in two years.
const fleetSize = 9800

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// receivedTable returns a table whose records were decoded from messages, as on
// a node that joined, so that the strings share no memory with the benchmark's.
func receivedTable(n int) *table {
	table := newTable(start, instance(0, "a0"), defaultTiming.suspicionTimeout)
	for i := 1; i < n; i++ {
		self := instance(i, fmt.Sprintf("a%d", i%11))
		self.Name = fmt.Sprintf("quote-desk-%05d.node", i)
		self.Sequence, self.State, self.Service, self.Slots = 3, sycamorerun.StateReady, fmt.Sprintf("service-%03d", i%430), 6
		self.Since = start
		data, _ := proto.Marshal(encode(start, &record{Instance: self}))
		message := &Record{}
		_ = proto.Unmarshal(data, message)
		r, _ := decode(start, message)
		table.merge(start, r)
	}
	table.pending = nil
	return table
}

func BenchmarkRecordMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		table := receivedTable(fleetSize)
		records := heapBytes()
		table.live()
		list := heapBytes()
		b.ReportMetric(float64(records-before)/fleetSize, "B/record")
		b.ReportMetric(float64(list-records)/fleetSize, "B/record-listed")
		runtime.KeepAlive(table)
	}
}

// BenchmarkChange applies one changed record from a frame and rebuilds the list
// and the plan.
func BenchmarkChange(b *testing.B) {
	table := receivedTable(fleetSize)
	r := *table.records["quote-desk-00700.node"]
	b.ReportAllocs()
	for b.Loop() {
		r.Sequence++
		frame := &Frame{Records: []*Record{encode(start, &r)}}
		_ = table.applyFrame(start, &link{peer: "x", dirty: map[string]struct{}{}}, frame)
		table.pending = nil
		planner.New("node-0000", table.reachable())
	}
	b.ReportMetric(float64(proto.Size(encode(start, &r))), "B/record-sent")
}

func BenchmarkHeartbeat(b *testing.B) {
	table := receivedTable(fleetSize)
	l := &link{peer: "x", dirty: map[string]struct{}{}}
	size := 0
	for b.Loop() {
		l.sendHeartbeat = true
		frame := table.buildFrames(start, l, 1_000_000)[0]
		size = proto.Size(frame)
		_ = table.applyFrame(start, l, frame)
	}
	b.ReportMetric(float64(size), "B/heartbeat")
}

// BenchmarkExchange reports the bytes of a join and of a synchronization after
// ten changes.
func BenchmarkExchange(b *testing.B) {
	for b.Loop() {
		full := receivedTable(fleetSize)
		other := newTable(start, instance(1, "a1"), defaultTiming.suspicionTimeout)
		b.ReportMetric(float64(exchange(start, other, full)), "B/join")
		for i := range 10 {
			r := *full.records[fmt.Sprintf("quote-desk-%05d.node", 100+i)]
			r.Sequence, r.inDigest = 4, false
			full.put(start, &r)
		}
		b.ReportMetric(float64(exchange(start, other, full)), "B/ten-changes")
	}
}
