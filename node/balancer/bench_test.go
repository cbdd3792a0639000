package balancer

import (
	"fmt"
	"testing"
	"time"

	"sycamorerun"
)

// BenchmarkPick measures the choice of an instance and the record of its outcome, for
// a service of which a third is in the region of the node.
func BenchmarkPick(b *testing.B) {
	for _, members := range []int{12, 89, 300, 9800} {
		for name, running := range map[string]int{"usual": 2, "full": 12} {
			b.Run(fmt.Sprintf("%d/%s", members, name), func(b *testing.B) {
				var instances []sycamorerun.Instance
				for at := range members {
					instances = append(instances, newInstance(fmt.Sprint("i", at), fmt.Sprint("r", 1+at%3), fmt.Sprint("z", 1+at/3%2)))
				}
				balancer := newBalancer(instances)
				load := &Load{Running: running, Slots: 6, RunTime: 100 * time.Millisecond}
				for _, instance := range instances {
					balancer.Observe(start, Observation{Instance: instance.Name, Result: sycamorerun.Answered, Status: 200, Load: load})
				}
				for b.Loop() {
					picked, _ := balancer.Pick(start, Query{Service: "s", Objective: time.Second})
					balancer.Observe(start, Observation{
						Instance: picked.Name, Service: "s", Result: sycamorerun.Answered, Status: 200, Load: load, Objective: time.Second,
					})
				}
			})
		}
	}
}
