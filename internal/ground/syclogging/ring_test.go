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

// safe is a buffer for one writer and one reader.
type safe struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *safe) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *safe) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.buf.String()), "\n")
}

func restore(t *testing.T) {
	t.Helper()
	t.Cleanup(func() { must.NoError(t, syclogging.Setup(io.Discard, "info", "text")) })
}

func TestRingWritesLines(t *testing.T) {
	restore(t)
	out := &safe{}
	r, err := syclogging.SetupQueue(out, "info", "json")
	must.NoError(t, err)
	logrus.WithField("id", "x1").Info("relay: request ended")
	logrus.Debug("nothing")
	must.NoError(t, r.Close())
	must.Len(t, 1, out.lines())
	var line map[string]string
	must.NoError(t, json.Unmarshal([]byte(out.lines()[0]), &line))
	must.Eq(t, "x1", line["id"])
	must.Eq(t, "relay: request ended", line["msg"])
}

// TestStalledOutputBlocksNobody logs far more than the ring holds to an output
// that takes nothing, and checks that faults are kept when it goes on.
func TestStalledOutputBlocksNobody(t *testing.T) {
	restore(t)
	reader, writer := io.Pipe()
	r, err := syclogging.SetupQueue(writer, "info", "json")
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
		t.Fatal("a stalled output blocks the log")
	}
	out := &safe{}
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		_, _ = io.Copy(out, reader)
	}()
	must.NoError(t, r.Close())
	must.NoError(t, writer.Close())
	<-copied
	all := strings.Join(out.lines(), "\n")
	for i := range 100 {
		must.StrContains(t, all, fmt.Sprintf("relay: failed %d\"", i))
	}
}

func TestRateOfOneMessageIsBounded(t *testing.T) {
	restore(t)
	out := &safe{}
	r, err := syclogging.SetupQueue(out, "info", "json")
	must.NoError(t, err)
	for range 1000 {
		logrus.Info("relay: request ended")
	}
	logrus.Info("fleet: configuration applied")
	must.NoError(t, r.Close())
	must.Less(t, 1000, len(out.lines()))
	must.StrContains(t, strings.Join(out.lines(), "\n"), "configuration applied")
}
