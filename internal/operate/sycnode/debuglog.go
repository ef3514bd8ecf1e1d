package sycnode

import (
	stdlog "log"

	"github.com/sirupsen/logrus"
)

// connectionLog receives the HTTP server's errors of single connections, such as failed reads
// of a request. They are logged at level debug, as they help only in a search for a fault.
var connectionLog = stdlog.New(debugWriter{}, "", 0)

// debugWriter writes the messages of a standard logger to the VM's log at level debug.
type debugWriter struct{}

// Write logs one message.
func (debugWriter) Write(p []byte) (int, error) {
	logrus.WithField("part", "node").Debugf("node: %s", p)
	return len(p), nil
}
