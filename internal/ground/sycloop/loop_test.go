package sycloop_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/ground/sycloop"
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

// Tasks also run while posted functions keep the loop busy.
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

// A pause handler runs before the next posted function.
func TestPauseHandlerRunsFirst(t *testing.T) {
	const limit = time.Second
	loop := sycloop.New()
	var order []string
	loop.OnPause(limit, func(time.Duration) { order = append(order, "pause handler") })
	must.True(t, loop.Do(func(time.Duration) { time.Sleep(limit + time.Millisecond) }))
	must.True(t, loop.Do(func(time.Duration) { order = append(order, "next") }))
	must.NoError(t, loop.Close())
	must.Eq(t, []string{"pause handler", "next"}, order[:2])
}

// A shorter period moves the next run of a task forward.
func TestShorterPeriodMovesTaskForward(t *testing.T) {
	loop := sycloop.New()
	ran := make(chan struct{}, 1)
	task := loop.NewTask(time.Hour, func(time.Duration) {
		select {
		case ran <- struct{}{}:
		default:
		}
	})
	task.Start()
	must.True(t, loop.Do(func(time.Duration) { task.SetPeriod(time.Millisecond) }))
	<-ran
	must.True(t, loop.Do(func(time.Duration) { task.SetPeriod(time.Hour) }))
	must.NoError(t, loop.Close())
}
