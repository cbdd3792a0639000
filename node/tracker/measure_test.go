package tracker

import (
	"testing"

	"github.com/matryer/is"

	"sycamorerun"
)

// Guards against a distance that members don't learn, that is flooded although
// it is the same, or that is nonsense.
func TestMeasure(t *testing.T) {
	is := is.New(t)
	table := newTable(start, instance(0, "a1"), standard.suspicion)
	is.True(!table.measure(start, 0))
	for _, distance := range []int{3, sycamorerun.Unreachable} {
		is.True(table.measure(start, distance))
		is.True(!table.measure(start, distance))
		own := table.records[table.own.name]
		received, err := decode(start, encode(start, own))
		is.NoErr(err)
		is.Equal(received.Distance, distance)
		is.Equal(received.Sequence, own.Sequence)
	}
	for _, distance := range []int32{sycamorerun.Unreachable - 1, distanceMost + 1} {
		message := encode(start, table.records[table.own.name])
		message.Distance = distance
		_, err := decode(start, message)
		is.True(err != nil)
	}
}
