package distributor

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"sycamorerun"
	"sycamorerun/differ"
	"sycamorerun/node/applier"
	"sycamorerun/persister"
	"sycamorerun/validator"
)

// largeTree returns the items of a tree of the size expected in two years: 430
// services and 900 routes.
func largeTree() map[sycamorerun.Path]sycamorerun.Item {
	items := map[sycamorerun.Path]sycamorerun.Item{}
	put := func(i int, kind, name string, value any) {
		item, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		items[sycamorerun.NewPath(fmt.Sprintf("team-%d", i%43), kind, name)] = item
	}
	team, _ := json.Marshal(sycamorerun.Team{Mode: sycamorerun.ModeFlow})
	for i := range 43 {
		items[sycamorerun.NewPath(sycamorerun.AdminTeam, sycamorerun.KindTeam, fmt.Sprintf("team-%d", i))] = team
	}
	for i := range 430 {
		put(i, sycamorerun.KindService, fmt.Sprintf("service-%d", i), service(i))
	}
	for i := range 900 {
		split := []sycamorerun.Target{{Service: fmt.Sprintf("service-%d", i%430), Weight: 90}}
		if i%3 == 0 {
			split = append(split, sycamorerun.Target{Service: fmt.Sprintf("service-%d", (i*7+1)%430), Weight: 10})
		}
		put(i, sycamorerun.KindRoute, fmt.Sprintf("route-%d", i), sycamorerun.Route{
			Hosts: []string{fmt.Sprintf("host-%d.example", i%430)}, Prefix: fmt.Sprintf("/v1/part-%d", i),
			Methods: []string{"GET", "POST"}, Class: sycamorerun.Interactive, Repeat: sycamorerun.RepeatDefault, Split: split,
		})
	}
	return items
}

func service(slots int) sycamorerun.Service {
	const second = sycamorerun.Duration(time.Second)
	return sycamorerun.Service{
		Slots: slots%1024 + 1, Queue: 12, Connections: 130, Timeout: 2 * second,
		Idle: 10 * second, Warmup: 5 * second, Retries: 0.2,
	}
}

// change returns the entry after base in which one service changes.
func change(base sycamorerun.Tree, slots int) sycamorerun.Entry {
	item, _ := json.Marshal(service(slots))
	difference := sycamorerun.Difference{Put: map[sycamorerun.Path]sycamorerun.Item{"team-1/service/service-1": item}}
	next := differ.Apply(base, base.Version+1, difference)
	return sycamorerun.Entry{
		Version: next.Version, Hash: differ.Hash(next.Items), Difference: difference, Time: time.Unix(1_800_000_000, 0),
		Changes: []sycamorerun.Accepted{{ID: "6a4ae3b6-6a2e-4d3e-9d7e-0c8f1f1f6a55", Team: "team-1", Operator: "ann", Kind: sycamorerun.Apply}},
	}
}

// BenchmarkChange measures the processor time of one change on one node, from the
// received frame to the frame for its children, without and with validation.
func BenchmarkChange(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkChange(b, nil) })
	b.Run("validated", func(b *testing.B) { benchmarkChange(b, new(validator.Checker).Check) })
}

func benchmarkChange(b *testing.B, validate func(map[sycamorerun.Path]sycamorerun.Item) []sycamorerun.Fault) {
	items := largeTree()
	d, a := newIsolatedNode()
	a.Validate = validate
	if err := a.Install(start, sycamorerun.Tree{Version: 1, Items: items}, differ.Hash(items)); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	size, stored := 0, 0
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		entry := change(a.Current().Tree, i)
		data, _ := persister.EncodeEntry(entry)
		received := encodeFrame(newPush(entry.Version, data))
		size, stored = len(received), len(data)
		b.StartTimer()
		message, err := readMessage(bytes.NewReader(received))
		if err == nil {
			err = d.handlePush(start, "parent", message.GetPush())
		}
		if err != nil {
			b.Fatal(err)
		}
		_ = encodeFrame(newPush(entry.Version, data))
	}
	b.ReportMetric(float64(size), "bytes/push")
	b.ReportMetric(float64(stored), "bytes/entry")
	b.ReportMetric(float64(len(encodeFrame(newHave(1<<20, false)))), "bytes/have")
}

// BenchmarkFrame measures the processor time to encode one push.
func BenchmarkFrame(b *testing.B) {
	data, _ := persister.EncodeEntry(change(sycamorerun.Tree{Version: 1, Items: largeTree()}, 1))
	for b.Loop() {
		_ = encodeFrame(newPush(1, data))
	}
}

// BenchmarkSnapshot measures the processor time to encode a snapshot and its size.
func BenchmarkSnapshot(b *testing.B) {
	tree := sycamorerun.Tree{Version: 1, Items: largeTree()}
	size, plain := 0, 0
	for path, item := range tree.Items {
		plain += len(path) + len(item)
	}
	for b.Loop() {
		data, _ := persister.EncodeSnapshot(tree, sycamorerun.Hash{})
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/snapshot")
	b.ReportMetric(float64(plain), "bytes/tree")
}

// BenchmarkHeldTree measures the memory that a tree and its routing table retain.
func BenchmarkHeldTree(b *testing.B) {
	data, _ := persister.EncodeSnapshot(sycamorerun.Tree{Version: 1, Items: largeTree()}, differ.Hash(largeTree()))
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		a := &applier.Applier{}
		tree, hash, _ := persister.DecodeSnapshot(data)
		if err := a.Install(start, tree, hash); err != nil {
			b.Fatal(err)
		}
		tree = sycamorerun.Tree{}
		b.ReportMetric(heap()-before, "bytes/held")
		runtime.KeepAlive(a)
	}
}
