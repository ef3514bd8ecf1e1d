package sycfleet_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/decide/sycfeed"
	"sycamorecart.example/sycamorecart/internal/decide/sycplace"
	"sycamorecart.example/sycamorecart/internal/peer/sycfleet"
)

// crowdLog is a log whose topic of VMs lists many, and which has nothing else.
type crowdLog struct {
	sycfleet.Log
	vms []sycfeed.Record
}

// OnEra does nothing.
func (crowdLog) OnEra(func(int64)) {}

// Newest returns the VMs.
func (l crowdLog) Newest(_ context.Context, topic string) ([]sycfeed.Record, sycfeed.Position, error) {
	if topic != sycfleet.TopicVMs {
		return nil, sycfeed.Position{}, nil
	}
	return l.vms, sycfeed.Position{Offset: int64(len(l.vms))}, nil
}

// Read waits until the test ends.
func (crowdLog) Read(ctx context.Context, _ string, from sycfeed.Position, _ time.Duration) ([]sycfeed.Record, sycfeed.Position, error) {
	<-ctx.Done()
	return nil, from, nil
}

// Put does nothing.
func (crowdLog) Put(context.Context, string, string, []byte) error { return nil }

// ReadDuty fails.
func (crowdLog) ReadDuty(context.Context, sycfeed.Position, time.Duration) (records [][]byte, first, end sycfeed.Position, err error) {
	return nil, first, end, errors.New("no duty log")
}

// crowdEngines are engines that say nothing.
type crowdEngines struct{ sycfleet.Engines }

// OnNotice does nothing.
func (crowdEngines) OnNotice(func(string, sycplace.Endpoint, sycplace.Notice)) {}

// TestVMOfALargeFleetHasFewPartners guards against VMs that exchange state with all others, so that a fleet of 90 has no processor time left for requests.
func TestVMOfALargeFleetHasFewPartners(t *testing.T) {
	const (
		vms = 90
		// limit is what relays of a failure domain of 30 VMs need.
		limit = 40
	)
	log := crowdLog{}
	for i := range vms {
		value := fmt.Sprintf(`{"name":"vm-%d","failure_domain":"z%d","incarnation":"vm-%d/1"}`, i, i%3, i)
		log.vms = append(log.vms, sycfeed.Record{Position: sycfeed.Position{Offset: int64(i)}, Key: fmt.Sprint("127.0.1.", i+1, ":1"), Value: []byte(value)})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f, err := sycfleet.New(sycfleet.Options{
		Name: "vm-0", Incarnation: "vm-0/1", FailureDomain: "z0", Address: "127.0.1.1:1", Listener: listener,
		LeaseDuration: 3 * time.Second, ConfigWithin: 3 * time.Second, DrainWithin: 3 * time.Second, Log: log, Engines: crowdEngines{},
	})
	must.NoError(t, err)
	defer func() { _ = f.Close() }()
	for len(f.Peers(true)) == 0 {
		time.Sleep(time.Millisecond)
	}
	must.LessEq(t, limit, len(f.Peers(true)))
}
