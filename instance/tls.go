package instance

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
)

// load returns the TLS configuration of the links, or nil for plain TCP. It
// fails when a file cannot be read or holds no certificate.
func (t TLS) load() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, eris.Wrap(err, "tls.certificate and tls.key: name a PEM certificate and its key")
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "tls.authority: name a readable PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("tls.authority %s holds no certificate: name the PEM file of the authority", t.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// isRefused reports whether nothing listens at the address that was dialled.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
