package sycloop_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/operate/sycloop"
)

func TestLoopRunsInOrder(t *testing.T) {
	loop := sycloop.New()
	var got []int
	for i := range 100 {
		must.True(t, loop.Post(func(time.Duration) { got = append(got, i) }))
	}
	must.True(t, loop.Do(func(time.Duration) {}))
	must.Len(t, 100, got)
	for i, v := range got {
		must.Eq(t, i, v)
	}
	must.NoError(t, loop.Close())
	must.False(t, loop.Do(func(time.Duration) {}))
}
