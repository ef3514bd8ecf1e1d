// Package syclogging configures logrus, the process's log. Setup writes log lines
// to an output directly, SetupQueue through a bounded queue that never blocks.
//
// A part is a component of the program, such as "fleet" or "relay". It logs
// through a Logger of its own, whose messages start with the part's name.
package syclogging

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Setup sets the output of the log, its level (a name that logrus knows, such as
// "info") and its format ("json", or "text" and any other value for plain text).
func Setup(out io.Writer, level, format string) error {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return eris.Wrap(err, "log level")
	}
	logrus.SetOutput(out)
	logrus.SetLevel(parsed)
	if format == "json" {
		logrus.SetFormatter(&logrus.JSONFormatter{})
		return nil
	}
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return nil
}

// Logger logs the messages of one part of the program, with the part's name and a
// colon as prefix.
type Logger struct {
	// prefix is put before each message, such as "fleet: ".
	prefix string
}

// New returns the logger of the given part of the program.
func New(part string) Logger {
	return Logger{prefix: part + ": "}
}

// Debugf logs details for debugging, such as those of a single request.
func (l Logger) Debugf(format string, args ...any) { logrus.Debugf(l.prefix+format, args...) }

// Infof logs an event of normal operation.
func (l Logger) Infof(format string, args ...any) { logrus.Infof(l.prefix+format, args...) }

// Warnf logs a fault that the program handles without an operator.
func (l Logger) Warnf(format string, args ...any) { logrus.Warnf(l.prefix+format, args...) }

// Errorf logs a fault that an operator must handle.
func (l Logger) Errorf(format string, args ...any) { logrus.Errorf(l.prefix+format, args...) }
