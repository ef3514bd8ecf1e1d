package sycpeer

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"
)

// PeerName is the DNS name that every peer certificate must carry. A name in
// place of the IP number keeps a certificate valid on a replaced VM, and keeps
// other certificates of the same authority from passing for a peer's.
const PeerName = "peer.sycamorecart"

// TLSConfig reads a certificate, its key and the authority of all peers, and
// returns the settings of mutual TLS for both the server and the client.
func TLSConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrap(err, "peer certificate")
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("peer authority %s holds no certificate", caFile)
	}
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{cert},
		RootCAs:          pool,
		ClientCAs:        pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ServerName:       PeerName,
		VerifyConnection: verifyPeerName,
	}, nil
}

// verifyPeerName checks the name in the other side's certificate; the chain
// has been verified before.
func verifyPeerName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	return eris.Wrap(state.PeerCertificates[0].VerifyHostname(PeerName), "peer certificate")
}

// checkAddress accepts an IP number with a port; without TLS only loopback.
func checkAddress(address string, config *tls.Config) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return &AddressError{Address: address, Reason: "must be an IP number and a port"}
	}
	if config == nil && !parsed.Addr().Unmap().IsLoopback() {
		return &AddressError{Address: address, Reason: "only loopback is allowed without certificates"}
	}
	return nil
}
