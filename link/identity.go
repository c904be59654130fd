package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/rotisserie/eris"
)

// IdentityScheme is the scheme of certificate URI names that name a peer address
// with its port: wisteriafold://ip:port. Instances that share an IP address need
// such a name.
const IdentityScheme = "wisteriafold"

// CheckIdentity returns an error unless the certificate names the instance at the
// peer address. The certificate must be valid for the IP address, and when it has
// URI names of IdentityScheme, one of them must be the peer address.
func CheckIdentity(cert *x509.Certificate, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return eris.Wrapf(err, "peer address %q is not ip:port", address)
	}
	if err := cert.VerifyHostname(host); err != nil {
		return eris.Wrapf(err, "certificate does not name %s: issue it for that IP address", address)
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
		return eris.Errorf("certificate does not name %s, only other instances: issue it with the URI name %s://%s", address, IdentityScheme, address)
	}
	return nil
}

// clientTLS runs the dialler's side of the mutual TLS handshake and checks the
// peer's identity. It returns c unchanged when base is nil.
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

// serverTLS runs the acceptor's side of the mutual TLS handshake. It returns c
// unchanged when base is nil.
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

// checkHelloIdentity returns an error when the TLS certificate does not name the
// address in the Hello. On plain TCP there is no certificate, and any address is
// accepted.
func checkHelloIdentity(c net.Conn, address string) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	return CheckIdentity(t.ConnectionState().PeerCertificates[0], address)
}
