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
	// queueSize is the largest number of lines in the queue.
	queueSize = 2048
	// maxInfoLines is the queue length above which lines at level info and below
	// are dropped. The rest of the queue is reserved for warnings and errors.
	maxInfoLines = 1400
	// maxInfoRate limits the lines per second with the same message at level info
	// and below.
	maxInfoRate = 200
	// maxWarnRate limits the lines per second with the same message at level
	// warning and above.
	maxWarnRate = 500
	// flushTimeout is how long Close waits for the output to take queued lines.
	flushTimeout = 200 * time.Millisecond
)

var (
	// linesWritten counts the lines written to the output.
	linesWritten = metrics.GetOrCreateCounter(`sycamorecart_log_lines_total{result="written"}`)
	// linesDroppedFull counts the lines dropped because the queue was too full.
	linesDroppedFull = metrics.GetOrCreateCounter(`sycamorecart_log_lines_total{result="dropped_full"}`)
	// linesDroppedRate counts the lines dropped because the same message was
	// logged too often in one second.
	linesDroppedRate = metrics.GetOrCreateCounter(`sycamorecart_log_lines_total{result="dropped_rate"}`)
)

// Queue writes log lines to an output from a goroutine of its own, so that logging
// never waits for the output. Lines are dropped and counted if the queue is full,
// or if the same message is logged too often.
type Queue struct {
	// tomb stops the goroutine that writes lines and waits for it.
	tomb tomb.Tomb
	// formatter renders an entry as a line of text or JSON.
	formatter logrus.Formatter
	// lines has the lines to write.
	lines chan []byte
	// mu guards second and counts.
	mu sync.Mutex
	// second is the Unix time, in seconds, to which counts applies.
	second int64
	// counts has the number of lines logged with each message in that second.
	counts map[string]int
}

// SetupQueue sets the output of the log like Setup, but writes through a queue.
// The caller must close the queue, which writes the lines still in it.
func SetupQueue(out io.Writer, level, format string) (*Queue, error) {
	if err := Setup(io.Discard, level, format); err != nil {
		return nil, err
	}
	q := &Queue{
		formatter: logrus.StandardLogger().Formatter,
		lines:     make(chan []byte, queueSize),
		counts:    map[string]int{},
	}
	logrus.SetFormatter(q)
	q.tomb.Go(func() error {
		for {
			select {
			case line := <-q.lines:
				q.write(out, line)
			case <-q.tomb.Dying():
				for len(q.lines) > 0 {
					q.write(out, <-q.lines)
				}
				return nil
			}
		}
	})
	return q, nil
}

// write writes a line to the output, and counts it if that succeeds.
func (*Queue) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err == nil {
		linesWritten.Inc()
	}
}

// Format implements logrus.Formatter. It formats an entry and puts the line into
// the queue, or drops it. It returns nothing, so that logrus writes nothing itself.
func (q *Queue) Format(e *logrus.Entry) ([]byte, error) {
	info := e.Level >= logrus.InfoLevel
	if !q.admit(e.Message, e.Time.Unix(), info) {
		linesDroppedRate.Inc()
		return nil, nil
	}
	if info && len(q.lines) > maxInfoLines {
		linesDroppedFull.Inc()
		return nil, nil
	}
	line, err := q.formatter.Format(e)
	if err != nil {
		return nil, fmt.Errorf("format log line: %w", err)
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		linesDroppedFull.Inc()
	}
	return nil, nil
}

// admit counts a line logged in the given second, and reports whether it's within
// the rate of its message. info is set for level info and below.
func (q *Queue) admit(message string, second int64, info bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if second != q.second {
		q.second = second
		clear(q.counts)
	}
	q.counts[message]++
	if info {
		return q.counts[message] <= maxInfoRate
	}
	return q.counts[message] <= maxWarnRate
}

// Close writes the lines in the queue and stops its goroutine. If the output takes
// longer than flushTimeout, Close returns without waiting for it.
func (q *Queue) Close() error {
	q.tomb.Kill(nil)
	select {
	case <-q.tomb.Dead():
		return q.tomb.Wait()
	case <-time.After(flushTimeout):
		return nil
	}
}
