package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/ground/syclogging"
	"sycamorecart.example/sycamorecart/internal/operate/sycsetting"
)

// exitUnknown is the exit code for an outcome that could not be learnt in time.
const exitUnknown subcommands.ExitStatus = 3

// logFlags say where the platform's log is.
type logFlags struct {
	url      string
	settings string
}

func (l *logFlags) set(f *flag.FlagSet) {
	f.StringVar(&l.url, "log", "", "base `URL` of the platform's log")
	f.StringVar(&l.settings, "settings", "", "settings `file` of a VM to take the log from")
}

// find returns the log's base URL.
func (l *logFlags) find() (string, error) {
	if l.url != "" {
		return baseURL(l.url)
	}
	if l.settings == "" {
		return "", &argumentError{message: "one of -log and -settings is required"}
	}
	settings, err := sycsetting.Read(l.settings)
	if err != nil {
		return "", err
	}
	return settings.LogURL(), nil
}

// baseURL checks a URL of the command line and strips the slashes at its end.
func baseURL(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", &argumentError{message: fmt.Sprintf("%q must be an http or https URL, such as http://127.0.0.1:8081", text)}
	}
	return strings.TrimRight(text, "/"), nil
}

// argumentError reports wrong arguments.
type argumentError struct {
	message string
}

// Error returns the message.
func (e *argumentError) Error() string { return e.message }

// urlList is a flag that may be given several times.
type urlList []string

// String implements flag.Value.
func (l *urlList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *urlList) Set(value string) error {
	for _, text := range strings.Split(value, ",") {
		base, err := baseURL(text)
		if err != nil {
			return err
		}
		*l = append(*l, base)
	}
	return nil
}

// token reads the operators' token from a file, so that it does not show in
// the list of processes.
func token(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}

// quiet keeps the log of the folded state out of a command's output.
func quiet() error { return syclogging.Setup(os.Stderr, "error", "text") }

// unreadable describes a log that could not be read to its end.
func unreadable(logURL string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("the log at %s could not be read in time; it is out, slow or not at this URL", logURL)
	}
	return fmt.Errorf("the log at %s could not be read: %w", logURL, err)
}

// misused prints what is wrong with the arguments and where to read more.
func misused(command, message string) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s; see sycamorecart help %s\n", message, command)
	return subcommands.ExitUsageError
}

// fail prints an error and returns an exit code.
func fail(err error, status subcommands.ExitStatus) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return status
}
