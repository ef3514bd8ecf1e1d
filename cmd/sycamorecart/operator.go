package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"sycamorecart.example/sycamorecart/internal/operate/syclogging"
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
		return strings.TrimRight(l.url, "/"), nil
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
	for _, url := range strings.Split(value, ",") {
		*l = append(*l, strings.TrimRight(url, "/"))
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

// fail prints an error and returns an exit code.
func fail(err error, status subcommands.ExitStatus) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return status
}
