// Package syclogging sets up the process's log. Each part of the program logs
// through a logger of its own, whose messages start with the part's name.
package syclogging

import (
	"io"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Setup directs the log to out with the given level and format ("text" or
// "json").
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

// Logger writes messages with a fixed prefix.
type Logger struct {
	prefix string
}

// New returns the logger of a part of the program.
func New(part string) Logger {
	return Logger{prefix: part + ": "}
}

// Debugf logs what helps to follow a single request.
func (l Logger) Debugf(format string, args ...any) { logrus.Debugf(l.prefix+format, args...) }

// Infof logs an ordinary event.
func (l Logger) Infof(format string, args ...any) { logrus.Infof(l.prefix+format, args...) }

// Warnf logs a fault that the program copes with.
func (l Logger) Warnf(format string, args ...any) { logrus.Warnf(l.prefix+format, args...) }

// Errorf logs a fault that needs an operator.
func (l Logger) Errorf(format string, args ...any) { logrus.Errorf(l.prefix+format, args...) }
