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

func TestLoopRunsTasksBetweenFunctions(t *testing.T) {
	loop := sycloop.New()
	counts := [2]int{}
	enough := make(chan struct{})
	loop.Every(time.Millisecond, func(time.Duration) {
		counts[0]++
		if counts[0] == 20 {
			close(enough)
		}
	})
	loop.Every(4*time.Millisecond, func(time.Duration) { counts[1]++ })
	for running := true; running; {
		select {
		case <-enough:
			running = false
		default:
			must.True(t, loop.Do(func(time.Duration) {}))
		}
	}
	must.NoError(t, loop.Close())
	must.Greater(t, 0, counts[1])
}
