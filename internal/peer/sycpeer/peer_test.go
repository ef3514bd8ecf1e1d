package sycpeer_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"
	"storj.io/drpc/drpcerr"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// lender is a function that handles Borrow calls.
type lender func(in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error)

func (l lender) Borrow(_ context.Context, in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
	return l(in)
}

// helloHandler answers every Hello call with the same reply.
type helloHandler struct{ reply *sycpeerpb.HelloReply }

func (h helloHandler) Hello(context.Context, *sycpeerpb.HelloRequest) (*sycpeerpb.HelloReply, error) {
	return h.reply, nil
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return listener
}

func serve(t *testing.T, o sycpeer.ServerOptions) *sycpeer.Server {
	t.Helper()
	o.Listener = listen(t)
	server, err := sycpeer.NewServer(o)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, server.Close()) })
	return server
}

func newClient(t *testing.T, o sycpeer.ClientOptions) *sycpeer.Client {
	t.Helper()
	client := sycpeer.NewClient(o)
	t.Cleanup(func() { must.NoError(t, client.Close()) })
	return client
}

func TestCallReachesHandler(t *testing.T) {
	server := serve(t, sycpeer.ServerOptions{Handlers: sycpeer.Handlers{
		Borrow: lender(func(in *sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
			return &sycpeerpb.BorrowReply{Id: in.GetId(), Amount: in.GetAmount()}, nil
		}),
	}})
	client := newClient(t, sycpeer.ClientOptions{})
	for id := range uint64(3) {
		reply, err := client.Borrow(t.Context(), server.Address(), &sycpeerpb.BorrowRequest{Id: id, Amount: 5})
		must.NoError(t, err)
		must.Eq(t, id, reply.GetId())
		must.Eq(t, 5, reply.GetAmount())
	}
}

// A peer that answers with errors is reachable, so calls to it aren't backed off.
func TestAnsweredErrorsCauseNoBackoff(t *testing.T) {
	server := serve(t, sycpeer.ServerOptions{Handlers: sycpeer.Handlers{
		Borrow: lender(func(*sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
			return nil, eris.New("nothing to lend")
		}),
	}})
	client := newClient(t, sycpeer.ClientOptions{})
	for range 3 {
		_, err := client.Borrow(t.Context(), server.Address(), &sycpeerpb.BorrowRequest{})
		must.ErrorContains(t, err, "nothing to lend")
		_, err = client.Share(t.Context(), server.Address(), &sycpeerpb.ShareRequest{})
		must.Eq(t, drpcerr.Unimplemented, drpcerr.Code(err))
	}
}

func TestUnreachablePeerIsBackedOff(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	limits := sycpeer.Limits{MinBackoff: time.Hour, MaxBackoff: 10 * time.Hour}
	client := newClient(t, sycpeer.ClientOptions{Limits: limits})
	_, err := client.Hello(t.Context(), address, &sycpeerpb.HelloRequest{})
	must.Error(t, err)
	_, err = client.Hello(t.Context(), address, &sycpeerpb.HelloRequest{})
	var backoff *sycpeer.BackoffError
	must.True(t, errors.As(err, &backoff))
	must.Eq(t, address, backoff.Address)
}

func TestCallsPerPeerAreLimited(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := serve(t, sycpeer.ServerOptions{Handlers: sycpeer.Handlers{
		Borrow: lender(func(*sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
			close(entered)
			<-release
			return &sycpeerpb.BorrowReply{}, nil
		}),
	}})
	client := newClient(t, sycpeer.ClientOptions{Limits: sycpeer.Limits{CallsPerPeer: 1, CallTimeout: time.Minute}})
	done := make(chan error, 1)
	go func() {
		_, err := client.Borrow(t.Context(), server.Address(), &sycpeerpb.BorrowRequest{})
		done <- err
	}()
	<-entered
	_, err := client.Borrow(t.Context(), server.Address(), &sycpeerpb.BorrowRequest{})
	var busy *sycpeer.BusyError
	must.True(t, errors.As(err, &busy))
	close(release)
	must.NoError(t, <-done)
}

func TestLargeMessagesAreRejected(t *testing.T) {
	server := serve(t, sycpeer.ServerOptions{
		Limits: sycpeer.Limits{MaxMessage: 1 << 10},
		Handlers: sycpeer.Handlers{
			Borrow: lender(func(*sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
				return &sycpeerpb.BorrowReply{}, nil
			}),
		},
	})
	client := newClient(t, sycpeer.ClientOptions{})
	_, err := client.Borrow(t.Context(), server.Address(), &sycpeerpb.BorrowRequest{Customer: strings.Repeat("x", 1<<18)})
	must.Error(t, err)
}

func TestAddresses(t *testing.T) {
	secure := newAuthority(t).config(t, sycpeer.PeerName)
	cases := []struct {
		name    string
		address string
		tls     bool
		allowed bool
	}{
		{name: "loopback", address: "127.0.0.2:1", allowed: true},
		{name: "IPv6 loopback", address: "[::1]:1", allowed: true},
		{name: "host name", address: "localhost:1"},
		{name: "no port", address: "127.0.0.1"},
		{name: "other host without TLS", address: "192.0.2.1:1"},
		{name: "other host with TLS", address: "192.0.2.1:1", tls: true, allowed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			options := sycpeer.ClientOptions{Dial: func(context.Context, string) (net.Conn, error) {
				return nil, eris.New("dialled")
			}}
			if c.tls {
				options.TLS = secure
			}
			client := newClient(t, options)
			_, err := client.Hello(t.Context(), c.address, &sycpeerpb.HelloRequest{})
			var addressErr *sycpeer.AddressError
			must.Eq(t, !c.allowed, errors.As(err, &addressErr))
		})
	}
}
