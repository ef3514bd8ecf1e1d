package sycpeer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeer"
	"sycamorecart.example/sycamorecart/internal/peer/sycpeerpb"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return authority{cert: cert, key: key}
}

// config signs a certificate for a DNS name, writes it to files and returns the
// TLS configuration that TLSConfig reads from them.
func (a authority) config(t testing.TB, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		DNSNames:     []string{name},
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	secret, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	certFile := writePEM(t, "CERTIFICATE", der)
	keyFile := writePEM(t, "EC PRIVATE KEY", secret)
	caFile := writePEM(t, "CERTIFICATE", a.cert.Raw)
	config, err := sycpeer.TLSConfig(certFile, keyFile, caFile)
	must.NoError(t, err)
	return config
}

// writePEM writes a PEM file with one block and returns its path.
func writePEM(t testing.TB, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	must.NoError(t, os.WriteFile(path, block, 0o600))
	return path
}

// TestMutualTLS checks that the server accepts only clients whose certificate is
// signed by its authority and has the name PeerName, and counts the others.
func TestMutualTLS(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	cases := []struct {
		name     string
		client   *tls.Config
		accepted bool
	}{
		{name: "peer", client: own.config(t, sycpeer.PeerName), accepted: true},
		{name: "other authority", client: foreign.config(t, sycpeer.PeerName)},
		{name: "other name of the same authority", client: own.config(t, "endpoint.example")},
		{name: "plain TCP"},
	}
	rejected := metrics.GetOrCreateCounter(`sycamorecart_peer_rejected_total{reason="certificate"}`)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := rejected.Get()
			server := serve(t, sycpeer.ServerOptions{
				TLS: own.config(t, sycpeer.PeerName),
				Handlers: sycpeer.Handlers{Borrow: lender(func(*sycpeerpb.BorrowRequest) (*sycpeerpb.BorrowReply, error) {
					return &sycpeerpb.BorrowReply{Amount: 1}, nil
				})},
			})
			config := c.client
			if config != nil {
				// Every client trusts the server's authority, so that only the server can
				// reject the connection.
				config.RootCAs = own.config(t, sycpeer.PeerName).RootCAs
			}
			client := newClient(t, sycpeer.ClientOptions{TLS: config})
			_, err := client.Borrow(t.Context(), server.Address(), &sycpeerpb.BorrowRequest{})
			must.Eq(t, c.accepted, err == nil)
			must.NoError(t, server.Close())
			must.Eq(t, !c.accepted, rejected.Get() > before)
		})
	}
}
