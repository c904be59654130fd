package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/rotisserie/eris"
)

// IdentityScheme is the scheme of URI names in certificates that name a whole
// peer address, for instances that share an IP number: wisteriafold://ip:port.
const IdentityScheme = "wisteriafold"

// CheckIdentity reports whether the certificate names the instance at the peer
// address: its IP number must be among the certificate's IP names, and when the
// certificate has URI names of IdentityScheme, one of them must be the address.
func CheckIdentity(cert *x509.Certificate, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Wrapf(err, "peer address %q is not ip:port", address)
	}
	if err := cert.VerifyHostname(host); err != nil {
		return eris.Wrapf(err, "certificate does not name %s: issue it with that IP number", address)
	}
	named := false
	for _, u := range cert.URIs {
		if u.Scheme != IdentityScheme {
			continue
		}
		if u.Host == address {
			return nil
		}
		named = true
	}
	if named {
		return eris.Errorf("certificate names other instances than %s: issue it with %s://%s", address, IdentityScheme, address)
	}
	return nil
}

// clientTLS does the dialler's side of mutual TLS. Without settings it returns c.
func clientTLS(ctx context.Context, c net.Conn, base *tls.Config, peer string) (net.Conn, error) {
	if base == nil {
		return c, nil
	}
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		return nil, eris.Wrapf(err, "peer address %q is not ip:port", peer)
	}
	cfg := base.Clone()
	cfg.MinVersion = tls.VersionTLS13
	cfg.ServerName = host
	t := tls.Client(c, cfg)
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return t, CheckIdentity(t.ConnectionState().PeerCertificates[0], peer)
}

// serverTLS does the acceptor's side of mutual TLS. Without settings it returns c.
func serverTLS(ctx context.Context, c net.Conn, base *tls.Config) (net.Conn, error) {
	if base == nil {
		return c, nil
	}
	cfg := base.Clone()
	cfg.MinVersion = tls.VersionTLS13
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	t := tls.Server(c, cfg)
	return t, t.HandshakeContext(ctx)
}

// checkHelloIdentity refuses a Hello whose address the TLS certificate does
// not name. On plain TCP there is nothing to check it against.
func checkHelloIdentity(c net.Conn, address string) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	return CheckIdentity(t.ConnectionState().PeerCertificates[0], address)
}
