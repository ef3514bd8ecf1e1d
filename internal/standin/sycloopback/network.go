// Package sycloopback has what tests need on loopback addresses: servers whose responses are written by hand, and ranges
// of addresses for tests that start several VMs, so that test processes that run at the same time don't take each
// other's ports.
package sycloopback

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// firstNetwork and networkCount give the range of the second number of the loopback
	// addresses, 127.216 to 127.253, that only these tests use.
	firstNetwork, networkCount = 216, 38
	// thirdNumbers is the number of values of an address's third number.
	thirdNumbers = 256
	// reservationPort is the port that a test listens on at lastHost to reserve its network.
	reservationPort = 8079
	// lastHost is the last host number of a network. No VM uses it.
	lastHost = 254
	// firstPort is the first of a VM's ports.
	firstPort = 8080
)

// Network is a range of loopback addresses that one test uses alone. Its VMs don't use ports
// of 127.0.0.1, as a connection of any other test may take a port that was free a moment ago.
type Network struct {
	// prefix is the first three numbers of the addresses.
	prefix string
	// hosts is the number of the last host assigned.
	hosts int
}

// Reserve reserves a network until the test ends. It begins the search at the process ID,
// since other processes run such tests at the same time.
func Reserve(t testing.TB) *Network {
	t.Helper()
	for i := range networkCount * thirdNumbers {
		n := (os.Getpid() + i) % (networkCount * thirdNumbers)
		prefix := fmt.Sprintf("127.%d.%d", firstNetwork+n/thirdNumbers, n%thirdNumbers)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, lastHost, reservationPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return &Network{prefix: prefix}
		}
	}
	t.Fatal("all networks for tests are in use")
	return nil
}

// Host returns the addresses of a host that no other VM of the test has, one for each of a
// number of ports.
func (n *Network) Host(t testing.TB, ports int) []netip.AddrPort {
	t.Helper()
	n.hosts++
	must.Less(t, lastHost, n.hosts)
	var list []netip.AddrPort
	for i := range ports {
		list = append(list, netip.MustParseAddrPort(fmt.Sprintf("%s.%d:%d", n.prefix, n.hosts, firstPort+i)))
	}
	return list
}
