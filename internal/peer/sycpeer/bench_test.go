package sycpeer_test

import (
	"crypto/tls"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// BenchmarkCalls reports the time of a call on an open connection, and the bytes
// sent for it by client and server.
func BenchmarkCalls(b *testing.B) {
	calls := []struct {
		name string
		call func(c *sycpeer.Client, address string) error
	}{
		{"borrow", func(c *sycpeer.Client, address string) error {
			in := &sycpeerpb.BorrowRequest{
				From: vm(), Id: 1 << 60, Customer: "wspolnota-podhale", Amount: 2_500_000,
				Settled: []uint64{1 << 60}, Returned: []int64{0}, Generation: 7,
			}
			_, err := c.Borrow(b.Context(), address, in)
			return err
		}},
		{"hello", func(c *sycpeer.Client, address string) error {
			_, err := c.Hello(b.Context(), address, &sycpeerpb.HelloRequest{From: vm(), ConfigNext: 10000, SystemNext: 10000})
			return err
		}},
	}
	for _, security := range []string{"plain", "tls"} {
		for _, c := range calls {
			b.Run(c.name+"/"+security, func(b *testing.B) { benchmarkCall(b, security == "tls", c.call) })
		}
	}
}

// vm returns the VM that is the sender, and each peer known to it, in the calls.
func vm() *sycpeerpb.Vm {
	return &sycpeerpb.Vm{Address: "10.11.12.13:8082", FailureDomain: "zakopane", Incarnation: "3f0c9f1e-6d0c-4c39-9a0e-0c2a3f8d1b55"}
}

// benchmarkCall runs the benchmark of one call, with or without TLS.
func benchmarkCall(b *testing.B, secure bool, call func(c *sycpeer.Client, address string) error) {
	var config *tls.Config
	if secure {
		config = newAuthority(b).config(b, sycpeer.PeerName)
	}
	known := make([]*sycpeerpb.Vm, 7)
	for i := range known {
		known[i] = vm()
		known[i].Incarnation = ""
	}
	server, err := sycpeer.NewServer(sycpeer.ServerOptions{Listener: listen(b), TLS: config, Handlers: sycpeer.Handlers{
		Borrow: lender(func(*sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
			return &sycpeerpb.BorrowReply{Id: 1 << 60, Amount: 1_250_000, ValidNano: 4e8, Left: 1_000_000}, nil
		}),
		Hello: helloHandler{reply: &sycpeerpb.HelloReply{Vm: vm(), Known: known, ConfigNext: 10000, SystemNext: 10000}},
	}})
	must.NoError(b, err)
	client := sycpeer.NewClient(sycpeer.ClientOptions{TLS: config})
	must.NoError(b, call(client, server.Address()))
	sent := metrics.GetOrCreateCounter(`sycamorecart_peer_bytes_total{direction="sent"}`)
	before := sent.Get()
	for b.Loop() {
		must.NoError(b, call(client, server.Address()))
	}
	b.ReportMetric(float64(sent.Get()-before)/float64(b.N), "B/call")
	must.NoError(b, client.Close())
	must.NoError(b, server.Close())
}
