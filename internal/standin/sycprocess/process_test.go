package sycprocess_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycprocess"
)

// TestStop stops a process that ends on SIGTERM and one that ignores the signal and has
// to be killed. It also starts a program that doesn't exist.
func TestStop(t *testing.T) {
	tests := []struct {
		name   string
		script string
		// clean is whether Stop returns no error.
		clean bool
	}{
		{"ends on SIGTERM", `trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done`, true},
		{"ignores SIGTERM", `trap '' TERM; echo up; while :; do sleep 0.01; done`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			must.NoError(t, err)
			defer reader.Close()
			p, err := sycprocess.Start(writer, "/bin/sh", "-c", tt.script)
			must.NoError(t, err)
			must.NoError(t, writer.Close())
			_, err = reader.Read(make([]byte, 8))
			must.NoError(t, err)
			must.Eq(t, tt.clean, p.Stop(2*time.Second) == nil)
			<-p.Done()
		})
	}
	_, err := sycprocess.Start(&bytes.Buffer{}, "/no/such/program")
	must.Error(t, err)
}
