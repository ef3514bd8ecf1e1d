package sycpeer

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"
)

// PeerName is the DNS name that every peer certificate must have. Because the
// name isn't an IP number, a certificate stays valid when its VM is replaced. It
// also tells a peer's certificate from others of the same authority.
const PeerName = "peer.sycamorecart"

// TLSConfig returns the configuration of mutual TLS between peers, for the server
// and for the client. The PEM files have this VM's certificate, its private key,
// and the certificates of the authority that signs all peer certificates.
func TLSConfig(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, eris.Wrap(err, "peer certificate")
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "peer certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("peer certificate authority: no certificate in %s", caFile)
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

// verifyPeerName checks that the other side's certificate has the name PeerName.
// crypto/tls has verified the certificate's chain before.
func verifyPeerName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("peer sent no certificate")
	}
	return eris.Wrap(state.PeerCertificates[0].VerifyHostname(PeerName), "peer certificate")
}

// checkAddress returns *AddressError unless the address is an IP number with a
// port, and is loopback if the TLS configuration is nil.
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
