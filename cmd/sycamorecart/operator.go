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

// exitUnknown is the exit code of a command that ended without learning whether
// its records were published or are in force on all VMs.
const exitUnknown subcommands.ExitStatus = 3

// logFlags are the flags that give the address of the platform's log.
type logFlags struct {
	// url is the log's base URL; if empty, settings is read.
	url string
	// settings is the path of a VM's settings file that has the log's URL.
	settings string
}

// register declares the flags in a flag set.
func (l *logFlags) register(f *flag.FlagSet) {
	f.StringVar(&l.url, "log", "", "base `URL` of the platform's log")
	f.StringVar(&l.settings, "settings", "", "settings `file` of a VM to take the log from")
}

// resolve returns the log's base URL.
func (l *logFlags) resolve() (string, error) {
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

// baseURL validates an http or https URL from the command line and returns it
// without trailing slashes.
func baseURL(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", &argumentError{message: fmt.Sprintf("%q must be an http or https URL, such as http://127.0.0.1:8081", text)}
	}
	return strings.TrimRight(text, "/"), nil
}

// argumentError reports wrong command-line arguments.
type argumentError struct {
	// message says what is wrong and is the whole error text.
	message string
}

// Error implements error.
func (e *argumentError) Error() string { return e.message }

// urlList is the value of a flag that takes base URLs, separated by commas or in
// repeated flags.
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

// readToken reads the operators' token from a file. It comes from a file so that
// the list of processes doesn't show it. An empty path gives no token.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), err
}

// logErrorsOnly limits logging to errors, so that log lines about applied records
// don't mix with a command's output.
func logErrorsOnly() error { return syclogging.Setup(os.Stderr, "error", "text") }

// logReadError returns the error that is printed when err kept a command from reading
// the platform's log to its end. It names the log's URL, and the possible causes if the
// time ran out.
func logReadError(logURL string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("the log at %s could not be read in time; it is out, slow or not at this URL", logURL)
	}
	return fmt.Errorf("the log at %s could not be read: %w", logURL, err)
}

// usageError prints what is wrong with the arguments of a command and how to get
// its help, and returns the exit code for wrong arguments.
func usageError(command, message string) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "%s; see sycamorecart help %s\n", message, command)
	return subcommands.ExitUsageError
}

// fail prints an error to standard error and returns the given exit code.
func fail(err error, status subcommands.ExitStatus) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return status
}
