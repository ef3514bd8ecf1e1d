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
	// asParent makes this test's program start a process, stop it with SIGSTOP and wait
	// until its standard input ends.
	asParent = "SYCPROCESS_TEST_PARENT"
	// parentScript runs such a program and ends, which leaves the program's process
	// group without a parent in its session.
	parentScript = `"$0" -test.run '^TestStoppedProcessOutlivesItsGroup$' <&3 & read line`
	// hangUp is how long the stopped process may take to end of a signal.
	hangUp = 500 * time.Millisecond
)

// TestStoppedProcessOutlivesItsGroup ends the shell above the program that has stopped a
// process. The kernel then sends SIGHUP and SIGCONT to the shell's process group if a
// process of it is stopped, which must not be the stopped one.
func TestStoppedProcessOutlivesItsGroup(t *testing.T) {
	if os.Getenv(asParent) != "" {
		beParent(t)
		return
	}
	shell := exec.Command("/bin/sh", "-c", parentScript, os.Args[0])
	shell.Env = append(os.Environ(), asParent+"=1")
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	shell.Stderr = os.Stderr
	ending, err := shell.StdinPipe()
	must.NoError(t, err)
	input, hold, err := os.Pipe()
	must.NoError(t, err)
	defer hold.Close()
	shell.ExtraFiles = []*os.File{input}
	output, writer, err := os.Pipe()
	must.NoError(t, err)
	defer output.Close()
	shell.Stdout = writer
	must.NoError(t, shell.Start())
	must.NoError(t, input.Close())
	must.NoError(t, writer.Close())
	lines := bufio.NewReader(output)
	line, err := lines.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "stopped\n", line)
	must.NoError(t, ending.Close())
	_ = shell.Wait()
	must.NoError(t, hold.Close())
	line, err = lines.ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "alive\n", line)
}

func beParent(t *testing.T) {
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
	case <-time.After(hangUp):
		fmt.Println("alive")
	}
}
