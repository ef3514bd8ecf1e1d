package sycprocess_test

import (
	"bytes"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/standin/sycprocess"
)

func TestStops(t *testing.T) {
	tests := []struct {
		name   string
		script string
		clean  bool
	}{
		{"asked", `trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done`, true},
		{"killed", `trap '' TERM; echo up; while :; do sleep 0.01; done`, false},
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

func TestOwnerOfConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	accepted, err := listener.Accept()
	must.NoError(t, err)
	defer accepted.Close()
	tests := []struct {
		name string
		pids []int
		want int
	}{
		{"this process", []int{1, os.Getpid()}, os.Getpid()},
		{"others", []int{1}, 0},
	}
	for _, tt := range tests {
		must.Eq(t, tt.want, sycprocess.Owner(accepted, tt.pids), must.Sprint(tt.name))
	}
}
