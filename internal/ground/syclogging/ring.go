package syclogging

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"
)

const (
	// ringSize is how many lines may wait to be written.
	ringSize = 2048
	// ordinaryLines is how many lines of the level info and below
	// may wait; the rest of the ring is kept for warnings and errors.
	ordinaryLines = 1400
	// ordinaryRate and faultRate bound the lines a second of each message, at the
	// level info and below and above it.
	ordinaryRate = 200
	faultRate    = 500
	// flushTime bounds the time for which a close waits for a slow output.
	flushTime = 200 * time.Millisecond
)

var (
	linesWritten = metrics.GetOrCreateCounter(`sycamorecart_log_lines_total{result="written"}`)
	linesFull    = metrics.GetOrCreateCounter(`sycamorecart_log_lines_total{result="dropped_full"}`)
	linesRate    = metrics.GetOrCreateCounter(`sycamorecart_log_lines_total{result="dropped_rate"}`)
)

// Queue passes log lines on to an output without ever waiting for it. What does
// not fit, or comes too often, is dropped and counted.
type Queue struct {
	tomb   tomb.Tomb
	format logrus.Formatter
	lines  chan []byte
	mu     sync.Mutex
	// second is the one in which the lines in counts were logged.
	second int64
	counts map[string]int
}

// SetupQueue directs the log to out through a ring, which must be closed to write
// what still waits.
func SetupQueue(out io.Writer, level, format string) (*Queue, error) {
	if err := Setup(io.Discard, level, format); err != nil {
		return nil, err
	}
	r := &Queue{
		format: logrus.StandardLogger().Formatter,
		lines:  make(chan []byte, ringSize),
		counts: map[string]int{},
	}
	logrus.SetFormatter(r)
	r.tomb.Go(func() error {
		for {
			select {
			case line := <-r.lines:
				r.write(out, line)
			case <-r.tomb.Dying():
				for len(r.lines) > 0 {
					r.write(out, <-r.lines)
				}
				return nil
			}
		}
	})
	return r, nil
}

func (*Queue) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err == nil {
		linesWritten.Inc()
	}
}

// Format takes a line over; it implements logrus.Formatter and leaves nothing for
// the logger to write.
func (r *Queue) Format(e *logrus.Entry) ([]byte, error) {
	ordinary := e.Level >= logrus.InfoLevel
	if !r.admit(e.Message, e.Time.Unix(), ordinary) {
		linesRate.Inc()
		return nil, nil
	}
	if ordinary && len(r.lines) > ordinaryLines {
		linesFull.Inc()
		return nil, nil
	}
	line, err := r.format.Format(e)
	if err != nil {
		return nil, fmt.Errorf("format log line: %w", err)
	}
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		linesFull.Inc()
	}
	return nil, nil
}

// admit bounds the rate of each message.
func (r *Queue) admit(message string, second int64, ordinary bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second != r.second {
		r.second = second
		clear(r.counts)
	}
	r.counts[message]++
	if ordinary {
		return r.counts[message] <= ordinaryRate
	}
	return r.counts[message] <= faultRate
}

// Close writes what waits, unless the output takes too long.
func (r *Queue) Close() error {
	r.tomb.Kill(nil)
	select {
	case <-r.tomb.Dead():
		return r.tomb.Wait()
	case <-time.After(flushTime):
		return nil
	}
}
