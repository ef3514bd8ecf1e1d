package sycprocess_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycprocess"
)

const (
	// parentVariable is the environment variable that makes the test program run as the
	// parent of the stopped process: it calls runParent in place of the test.
	parentVariable = "SYCPROCESS_TEST_PARENT"
	// shellScript starts the test program in the background, with file descriptor 3 as its
	// standard input, and ends when the shell's own standard input does. When the shell has
	// ended, its process group is orphaned: no process of it has a parent in another group
	// of the session.
	shellScript = `"$0" -test.run '^TestStoppedProcessOutlivesItsGroup$' <&3 & read line`
	// hangUpWait is how long the parent waits to see whether SIGHUP has ended the stopped
	// process.
	hangUpWait = 500 * time.Millisecond
)

// TestStoppedProcessOutlivesItsGroup checks that a stopped child process survives the end
// of the shell that its parent runs in. When that shell ends, the kernel sends SIGHUP and
// SIGCONT to the shell's process group if one of its processes is stopped. The child must
// not be in that group, because SIGHUP would end it.
func TestStoppedProcessOutlivesItsGroup(t *testing.T) {
	if os.Getenv(parentVariable) != "" {
		runParent(t)
		return
	}
	shell := exec.Command("/bin/sh", "-c", shellScript, os.Args[0])
	shell.Env = append(os.Environ(), parentVariable+"=1")
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	shell.Stderr = os.Stderr
	shellInput, err := shell.StdinPipe()
	must.NoError(t, err)
	parentInput, parentInputWriter, err := os.Pipe()
	must.NoError(t, err)
	defer parentInputWriter.Close()
	shell.ExtraFiles = []*os.File{parentInput}
	output, writer, err := os.Pipe()
	must.NoError(t, err)
	defer output.Close()
	shell.Stdout = writer
	must.NoError(t, shell.Start())
	must.NoError(t, parentInput.Close())
	must.NoError(t, writer.Close())
	lines := bufio.NewReader(output)
	line, err := lines.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "stopped\n", line)
	must.NoError(t, shellInput.Close())
	_ = shell.Wait()
	must.NoError(t, parentInputWriter.Close())
	line, err = lines.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "alive\n", line)
}

// runParent starts a child process, stops it with SIGSTOP and waits until its own standard
// input ends. Then it prints "alive" if the child is still alive after hangUpWait, and else
// the error that the child ended with.
func runParent(t *testing.T) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	p, err := sycprocess.Start(os.Stderr, "/bin/sleep", "60")
	must.NoError(t, err)
	defer p.Kill()
	p.Signal(syscall.SIGSTOP)
	fmt.Println("stopped")
	_, err = io.Copy(io.Discard, os.Stdin)
	must.NoError(t, err)
	select {
	case <-p.Done():
		fmt.Println("ended:", p.Err())
	case <-time.After(hangUpWait):
		fmt.Println("alive")
	}
}
