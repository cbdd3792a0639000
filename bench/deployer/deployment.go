package deployer

import (
	"slices"
	"time"
)

// Umuyoboro returns the users' deployment of that name: its availability zones,
// services, instances and network delays.
func Umuyoboro() Spec {
	return Spec{
		Zones: deployment("quote-desk", 8, "survey-store", 6, "kigali", "north", "south"),
		// The round-trip time is 1 ms between availability zones and 20 ms between
		// regions.
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 10 * time.Millisecond,
		Relays: true, Upstreams: true,
		UpstreamArgs: []string{"--slots", "6", "--connections", "130", "--connect", "1ms"},
	}
}

// Gulfline returns the users' deployment of that name.
func Gulfline() Spec {
	return Spec{
		Zones:     deployment("dispatch-desk", 7, "box-records", 6, "gulf-coast", "atlantic-se", "inland-delta"),
		ZoneDelay: 750 * time.Microsecond, RegionDelay: 10 * time.Millisecond,
		Relays: true, Upstreams: true,
		UpstreamArgs: []string{"--slots", "6", "--connections", "130", "--connect", "1ms", "--probe", "6ms"},
	}
}

// deployment returns two availability zones for each region and distributes the
// instances of two services over them in turn.
func deployment(first string, firstInstances int, second string, secondInstances int, regions ...string) []Zone {
	var zones []Zone
	for _, region := range regions {
		for _, suffix := range []string{"-1", "-2"} {
			zones = append(zones, Zone{Name: region + suffix, Region: region})
		}
	}
	for i, service := range slices.Concat(slices.Repeat([]string{first}, firstInstances), slices.Repeat([]string{second}, secondInstances)) {
		zone := &zones[i%len(zones)]
		zone.Services = append(zone.Services, service)
		zone.Nodes++
	}
	return zones
}
