package syclogging_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines written.
func (b *syncBuffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.buf.String()), "\n")
}

// restoreLog makes the log discard its lines after the test.
func restoreLog(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { must.NoError(t, syclogging.Setup(io.Discard, "info", "text")) })
}

func TestQueueWritesLines(t *testing.T) {
	restoreLog(t)
	out := &syncBuffer{}
	q, err := syclogging.SetupQueue(out, "info", "json")
	must.NoError(t, err)
	logrus.WithField("id", "x1").Info("relay: request ended")
	logrus.Debug("nothing")
	must.NoError(t, q.Close())
	must.Len(t, 1, out.lines())
	var line map[string]string
	must.NoError(t, json.Unmarshal([]byte(out.lines()[0]), &line))
	must.Eq(t, "x1", line["id"])
	must.Eq(t, "relay: request ended", line["msg"])
}

// TestBlockedOutputDoesNotBlockLog logs far more lines than the queue holds while
// the output blocks. Logging must not block, and the warnings must be written once
// the output accepts lines again.
func TestBlockedOutputDoesNotBlockLog(t *testing.T) {
	restoreLog(t)
	reader, writer := io.Pipe()
	q, err := syclogging.SetupQueue(writer, "info", "json")
	must.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 5000 {
			logrus.Infof("relay: answered %d", i)
		}
		for i := range 100 {
			logrus.Warnf("relay: failed %d", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while the output blocks")
	}
	out := &syncBuffer{}
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		_, _ = io.Copy(out, reader)
	}()
	must.NoError(t, q.Close())
	must.NoError(t, writer.Close())
	<-copied
	all := strings.Join(out.lines(), "\n")
	for i := range 100 {
		must.StrContains(t, all, fmt.Sprintf("relay: failed %d\"", i))
	}
}

func TestRateOfOneMessageIsLimited(t *testing.T) {
	restoreLog(t)
	out := &syncBuffer{}
	q, err := syclogging.SetupQueue(out, "info", "json")
	must.NoError(t, err)
	for range 1000 {
		logrus.Info("relay: request ended")
	}
	logrus.Info("fleet: configuration applied")
	must.NoError(t, q.Close())
	must.Less(t, 1000, len(out.lines()))
	must.StrContains(t, strings.Join(out.lines(), "\n"), "configuration applied")
}
