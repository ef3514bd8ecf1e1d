package sycpeer_test

import (
	"crypto/tls"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// BenchmarkCalls reports the time and the bytes, both ways, of calls on an open
// connection.
func BenchmarkCalls(b *testing.B) {
	calls := []struct {
		name string
		call func(c *sycpeer.Client, address string) error
	}{
		{"borrow", func(c *sycpeer.Client, address string) error {
			in := &sycpeerpb.BorrowRequest{
				From: self(), Id: 1 << 60, Customer: "wspolnota-podhale", Amount: 2_500_000,
				Settled: []uint64{1 << 60}, Returned: []int64{0}, Generation: 7,
			}
			_, err := c.Borrow(b.Context(), address, in)
			return err
		}},
		{"hello", func(c *sycpeer.Client, address string) error {
			_, err := c.Hello(b.Context(), address, &sycpeerpb.HelloRequest{From: self(), ConfigNext: 10000, SystemNext: 10000})
			return err
		}},
	}
	for _, security := range []string{"plain", "tls"} {
		for _, c := range calls {
			b.Run(c.name+"/"+security, func(b *testing.B) { measure(b, security == "tls", c.call) })
		}
	}
}

func self() *sycpeerpb.Vm {
	return &sycpeerpb.Vm{Address: "10.11.12.13:8082", FailureDomain: "zakopane", Incarnation: "3f0c9f1e-6d0c-4c39-9a0e-0c2a3f8d1b55"}
}

func measure(b *testing.B, secure bool, call func(c *sycpeer.Client, address string) error) {
	var config *tls.Config
	if secure {
		config = newAuthority(b).config(b, sycpeer.PeerName)
	}
	known := make([]*sycpeerpb.Vm, 7)
	for i := range known {
		known[i] = self()
		known[i].Incarnation = ""
	}
	server, err := sycpeer.NewServer(sycpeer.ServerOptions{Listener: listen(b), TLS: config, Handlers: sycpeer.Handlers{
		Borrow: lender(func(*sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
			return &sycpeerpb.BorrowReply{Id: 1 << 60, Amount: 1_250_000, ValidNano: 4e8, Left: 1_000_000}, nil
		}),
		Hello: greeter{reply: &sycpeerpb.HelloReply{Vm: self(), Known: known, ConfigNext: 10000, SystemNext: 10000}},
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
