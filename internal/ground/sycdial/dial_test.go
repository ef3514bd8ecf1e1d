package sycdial_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/ground/sycdial"
)

func TestConnectionsHaveSourceAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	for _, source := range []string{"127.0.0.1", "127.0.0.77"} {
		dial := sycdial.From(netip.MustParseAddr(source), sycdial.DefaultTimeout)
		conn, err := dial(t.Context(), "tcp", listener.Addr().String())
		must.NoError(t, err)
		accepted, err := listener.Accept()
		must.NoError(t, err)
		host, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
		must.NoError(t, err)
		must.Eq(t, source, host)
		must.NoError(t, conn.Close())
		must.NoError(t, accepted.Close())
	}
}
