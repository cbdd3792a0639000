package tracker

import (
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
)

// TestSetDistance guards against a distance that is lost on the way to other
// members, is flooded although it has not changed, or is out of range.
func TestSetDistance(t *testing.T) {
	is := is.New(t)
	table := newTable(start, instance(0, "a1"), defaultTiming.suspicionTimeout)
	is.True(!table.setDistance(start, 0))
	for _, distance := range []int{3, sycamorerun.Unreachable} {
		is.True(table.setDistance(start, distance))
		is.True(!table.setDistance(start, distance))
		own := table.records[table.self.name]
		received, err := decode(start, encode(start, own))
		is.NoErr(err)
		is.Equal(received.Distance, distance)
		is.Equal(received.Sequence, own.Sequence)
	}
	for _, distance := range []int32{sycamorerun.Unreachable - 1, maxDistance + 1} {
		message := encode(start, table.records[table.self.name])
		message.Distance = distance
		_, err := decode(start, message)
		is.True(err != nil)
	}
}
