package sycnode

import (
	stdlog "log"

	"github.com/sirupsen/logrus"
)

// quiet takes what the HTTP library says of callers' connections, which is of
// use only when one looks for it.
var quiet = stdlog.New(debugWriter{}, "", 0)

type debugWriter struct{}

// Write logs one message of the library.
func (debugWriter) Write(p []byte) (int, error) {
	logrus.WithField("part", "node").Debugf("node: %s", p)
	return len(p), nil
}
