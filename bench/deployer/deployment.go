package deployer

import (
	"slices"
	"time"
)

// Umuyoboro returns today's deployment of that name: its availability zones,
// services, workers and delays.
func Umuyoboro() Spec {
	return Spec{
		Zones: deployment("quote-desk", 8, "survey-store", 6, "kigali", "north", "south"),
		// 1 ms between availability zones and 20 ms between regions, both ways.
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 10 * time.Millisecond,
		Relays: true, Upstreams: true,
		UpstreamArgs: []string{"--slots", "6", "--connections", "130", "--connect", "1ms"},
	}
}

// Gulfline returns today's deployment of that name.
func Gulfline() Spec {
	return Spec{
		Zones:     deployment("dispatch-desk", 7, "box-records", 6, "gulf-coast", "atlantic-se", "inland-delta"),
		ZoneDelay: 750 * time.Microsecond, RegionDelay: 10 * time.Millisecond,
		Relays: true, Upstreams: true,
		UpstreamArgs: []string{"--slots", "6", "--connections", "130", "--connect", "1ms", "--probe", "6ms"},
	}
}

// deployment spreads the workers of two services over two availability zones
// in each region.
func deployment(first string, firsts int, second string, seconds int, regions ...string) []Zone {
	var zones []Zone
	for _, region := range regions {
		for _, suffix := range []string{"-1", "-2"} {
			zones = append(zones, Zone{Name: region + suffix, Region: region})
		}
	}
	for i, service := range slices.Concat(slices.Repeat([]string{first}, firsts), slices.Repeat([]string{second}, seconds)) {
		zone := &zones[i%len(zones)]
		zone.Services = append(zone.Services, service)
		zone.Nodes++
	}
	return zones
}
