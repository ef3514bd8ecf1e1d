package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycrecord"
	"sycamorecart.example/sycamorecart/internal/operate/sycpublish"
	"sycamorecart.example/sycamorecart/internal/standin/sycplatform"
)

// run parses the arguments with a command's flags, executes it and returns its exit
// status.
func run(t *testing.T, c subcommands.Command, args ...string) subcommands.ExitStatus {
	t.Helper()
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(flags)
	must.NoError(t, flags.Parse(args))
	return c.Execute(t.Context(), flags)
}

// write writes text to a temporary file and returns its path.
func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "records.json")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Records that tests publish and check.
const (
	// goodRecord sets a customer, whatever its generation.
	goodRecord = `{"schema":2,"op":"put","kind":"customer","name":"c","spec":{"requests_per_second":1,"burst":1}}`
	// newRecord has an id and expects that its customer doesn't exist.
	newRecord = `{"schema":2,"id":"once","op":"put","kind":"customer","name":"d","expect":0,"spec":{"requests_per_second":1,"burst":1}}`
	// invalidRecord has an unknown field.
	invalidRecord = `{"schema":2,"op":"put","kind":"customer","name":"c","spec":{"rate":1}}`
	// conflictRecord is valid and expects a generation that the customer doesn't have.
	conflictRecord = `{"schema":2,"op":"put","kind":"customer","name":"c","expect":7,"spec":{"requests_per_second":1,"burst":1}}`
)

func TestPublish(t *testing.T) {
	platform, err := sycplatform.New(sycplatform.Options{})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	cases := []struct {
		name    string
		records string
		// lose is the number of appends whose responses the log doesn't send.
		lose int
		// out makes the log unavailable.
		out    bool
		status subcommands.ExitStatus
		// added is the number of records that the command appends to the log.
		added int
	}{
		{"accepted", goodRecord, 0, false, 0, 1},
		{"lost response", goodRecord, 1, false, 0, 1},
		{"array", "[" + goodRecord + "," + goodRecord + "]", 0, false, 0, 2},
		{"with an id", newRecord, 0, false, 0, 1},
		{"with an id again", newRecord, 0, false, 1, 1},
		{"refused", goodRecord + conflictRecord, 0, false, 1, 2},
		{"faulty", goodRecord + invalidRecord, 0, false, 2, 0},
		{"no JSON", "{", 0, false, 2, 0},
		{"outage", goodRecord, 0, true, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := len(platform.Records("config"))
			platform.SetFaults(sycplatform.Faults{LoseAppends: c.lose, Log: sycplatform.Fault{Out: c.out}})
			status := run(t, newPublish(), "-log", platform.URL(), "-timeout", "2s", write(t, c.records))
			must.EqOp(t, c.status, status)
			must.EqOp(t, c.added, len(platform.Records("config"))-before)
		})
	}
}

func TestPublishWaitsForVMs(t *testing.T) {
	platform, err := sycplatform.New(sycplatform.Options{})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	cases := []struct {
		name string
		// applied is the VM's status response.
		applied string
		status  subcommands.ExitStatus
	}{
		{"in force", `{"applied":{"config":100}}`, 0},
		{"not on a member", `{"applied":{"config":100},"members":[{"address":"x","applied":{"config":0}}]}`, exitUnknown},
		{"a leaving member does not count", `{"applied":{"config":100},"members":[{"address":"x","leaving":true}]}`, 0},
		{"not on the VM", `{"applied":{"config":0}}`, exitUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Write([]byte(c.applied))
			}))
			t.Cleanup(vm.Close)
			status := run(t, newPublish(), "-log", platform.URL(), "-timeout", "1s", "-wait", "-vm", vm.URL, write(t, goodRecord))
			must.EqOp(t, c.status, status)
		})
	}
}

func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		status subcommands.ExitStatus
	}{
		{"nothing", nil, 2},
		{"good", []string{write(t, goodRecord)}, 0},
		{"faulty", []string{write(t, goodRecord), write(t, invalidRecord)}, 1},
		{"no file", []string{"/nonexistent"}, 1},
		{"settings", []string{"-settings", "/nonexistent"}, 1},
	}
	for _, c := range cases {
		must.EqOp(t, c.status, run(t, newCheck(), c.args...), must.Sprint(c.name))
	}
}

func TestKeyRecordsTheHash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key.json")
	must.EqOp(t, 0, run(t, newKey(), "-customer", "c", "-record", path))
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	change, err := sycrecord.Parse(data)
	must.NoError(t, err)
	key, ok := change.Value().(sycrecord.Key)
	must.True(t, ok)
	must.EqOp(t, "c", key.Customer())
	must.EqOp(t, 1, run(t, newKey(), "-customer", "c", "-record", path), must.Sprint("an existing file is not overwritten"))
	must.EqOp(t, 2, run(t, newKey()))
}

func TestStatus(t *testing.T) {
	response := map[string]any{"ready": true}
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		json.NewEncoder(w).Encode(response)
	}))
	t.Cleanup(vm.Close)
	secret := write(t, "secret\n")
	must.EqOp(t, 0, run(t, newStatus(), "-token-file", secret, vm.URL))
	must.EqOp(t, 0, run(t, newStatus(), "-json", "-token-file", secret, vm.URL))
	must.EqOp(t, 1, run(t, newStatus(), vm.URL))
	must.EqOp(t, 2, run(t, newStatus()))
	response["ready"] = false
	must.EqOp(t, 1, run(t, newStatus(), "-token-file", secret, vm.URL))
}

func TestWatchEnds(t *testing.T) {
	platform, err := sycplatform.New(sycplatform.Options{})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, platform.Close()) })
	must.EqOp(t, 0, run(t, newWatch(), "-log", platform.URL(), "-all", "-for", "500ms"))
	platform.SetFaults(sycplatform.Faults{Log: sycplatform.Fault{Out: true}})
	must.EqOp(t, 1, run(t, newWatch(), "-log", platform.URL(), "-for", "500ms"))
}

func TestVersion(t *testing.T) {
	must.EqOp(t, 0, run(t, newVersion()))
	flags := flag.NewFlagSet("version", flag.ContinueOnError)
	must.NoError(t, flags.Parse([]string{"extra"}))
	must.EqOp(t, 2, newVersion().Execute(context.Background(), flags))
}

// TestWrongArgumentsFailAtOnce checks that wrong arguments end a command with the
// exit code for wrong arguments. Without the check, a URL without a scheme would be
// tried until the command's timeout.
func TestWrongArgumentsFailAtOnce(t *testing.T) {
	const log = "http://127.0.0.1:1"
	cases := []struct {
		name    string
		command subcommands.Command
		args    []string
	}{
		{"log without a scheme", newPublish(), []string{"-log", "127.0.0.1:9000", write(t, goodRecord)}},
		{"watched log without a scheme", newWatch(), []string{"-log", "127.0.0.1:9000"}},
		{"VM without a scheme", newStatus(), []string{"127.0.0.1:8081"}},
		{"VM without a host", newStatus(), []string{"http://"}},
		{"wait without VMs", newPublish(), []string{"-log", log, "-wait", write(t, goodRecord)}},
		{"flag after the file", newPublish(), []string{"-log", log, write(t, goodRecord), "-wait"}},
	}
	for _, c := range cases {
		must.EqOp(t, subcommands.ExitUsageError, run(t, c.command, c.args...), must.Sprint(c.name))
	}
	var list urlList
	must.Error(t, list.Set("http://127.0.0.1:8081,127.0.0.1:8082"))
}

func TestErrorsNameTheCause(t *testing.T) {
	cases := []struct {
		name string
		err  error
		text string
	}{
		{"log out", logReadError("http://log", context.DeadlineExceeded), "http://log could not be read in time"},
		{"token", &sycpublish.StatusError{URL: "http://vm", Status: http.StatusUnauthorized}, "token is missing or wrong"},
		{"other status", &sycpublish.StatusError{URL: "http://vm", Status: http.StatusNotFound}, "http://vm: status 404"},
	}
	for _, c := range cases {
		must.StrContains(t, c.err.Error(), c.text, must.Sprint(c.name))
	}
}
