package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wisteriafold/wire"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), Subject: pkix.Name{CommonName: "test"},
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, tpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{t, cert, key, pool}
}

// issue returns the TLS configuration of an instance. Its certificate names the IP
// address, and the peer addresses when there are any.
func (a *authority) issue(ip string, addresses ...string) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, address := range addresses {
		tpl.URIs = append(tpl.URIs, &url.URL{Scheme: IdentityScheme, Host: address})
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool,
	}
}

// listen starts links on a free loopback port. settings, when not nil, returns the
// TLS configuration for the address chosen.
func listen(t *testing.T, settings func(address string) *tls.Config, change func(*Config)) (*Links, string) {
	return listenWith(t, &echo{}, settings, change)
}

func listenWith(t *testing.T, h Handler, settings func(address string) *tls.Config, change func(*Config)) (*Links, string) {
	emptyPools()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	cfg := Defaults()
	cfg.DialTimeout = 10 * time.Second
	cfg.Hello = &wire.Hello{Instance: address, Incarnation: 1}
	if settings != nil {
		cfg.TLS = settings(address)
	}
	if change != nil {
		change(&cfg)
	}
	l, err := New(cfg, h)
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- l.Serve(ln) }()
	t.Cleanup(func() {
		closeAll(t, l)
		assert.NoError(t, <-served)
	})
	return l, address
}

func TestMutualTLSAdmission(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	good := func(address string) *tls.Config { return ours.issue("127.0.0.1", address) }
	_, server := listen(t, good, nil)
	cases := []struct {
		name     string
		settings func(address string) *tls.Config
		ok       bool
	}{
		{"named by address", good, true},
		{"named by IP address only", func(string) *tls.Config { return ours.issue("127.0.0.1") }, true},
		{"other authority", func(address string) *tls.Config {
			c := theirs.issue("127.0.0.1", address)
			c.RootCAs = ours.pool
			return c
		}, false},
		{"other IP address", func(string) *tls.Config { return ours.issue("127.0.0.9") }, false},
		{"other port", func(string) *tls.Config { return ours.issue("127.0.0.1", "127.0.0.1:1") }, false},
		{"no certificate", func(string) *tls.Config { return &tls.Config{RootCAs: ours.pool} }, false},
		{"plain", nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, _ := listen(t, c.settings, nil)
			_, got, err := call(t.Context(), l, server, "hello")
			if c.ok {
				require.NoError(t, err)
				assert.Equal(t, "hello", got)
				return
			}
			var notSent *NotSentError
			require.ErrorAs(t, err, &notSent)
		})
	}
}

func TestServerWithCertificateForOtherPortIsRefused(t *testing.T) {
	ours := newAuthority(t)
	_, server := listen(t, func(string) *tls.Config { return ours.issue("127.0.0.1", "127.0.0.1:1") }, nil)
	l, _ := listen(t, func(address string) *tls.Config { return ours.issue("127.0.0.1", address) }, nil)
	_, _, err := call(t.Context(), l, server, "hello")
	var refused *HandshakeError
	require.ErrorAs(t, err, &refused)
}

func TestPeerWithOtherProtocolVersionIsRefused(t *testing.T) {
	l, _ := listen(t, nil, nil)
	other, address := listen(t, nil, nil)
	other.hello.Protocol++
	_, _, err := call(t.Context(), l, address, "x")
	var refused *HandshakeError
	require.ErrorAs(t, err, &refused)
	assert.Contains(t, err.Error(), "version")
}

func TestInvalidDataOnPeerPortClosesConnection(t *testing.T) {
	l, address := listen(t, nil, func(c *Config) { c.DialTimeout = 200 * time.Millisecond; c.MaxHandshakes = 4 })
	garbage := [][]byte{
		[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		make([]byte, 1<<16),
		{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff}, // stream 1 opened, then a data message header that announces 4 GiB
		{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff},                         // frame longer than wire.MaxFrameBytes
		{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 6, 0, 0, 0, 2, 0x0a, 0x7f},                         // frame that is not valid protobuf
		{}, // no data: the handshake times out
	}
	for _, g := range garbage {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, _ = c.Write(g) // may fail when the connection is already closed
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
		buf := make([]byte, 512)
		for err == nil {
			_, err = c.Read(buf)
		}
		assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must be closed before the read deadline")
		_ = c.Close()
	}
	assert.Eventually(t, func() bool { return l.Stats().Refused == uint64(len(garbage)) }, time.Minute, time.Millisecond)
	client, _ := listen(t, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, got, err := call(ctx, client, address, "still here")
	require.NoError(t, err)
	assert.Equal(t, "still here", got)
}

// startProxy forwards TCP connections to an address. dropData makes it discard all
// data of the connections that exist at that time, without closing them.
func startProxy(t *testing.T, to string) (dial func(context.Context, string) (net.Conn, error), dropData func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var generation atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	forward := func(from, to net.Conn, openedIn int64) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			silent := generation.Load() != openedIn
			if err != nil && !silent {
				_ = to.Close()
			}
			if err != nil {
				return
			}
			if !silent {
				_, _ = to.Write(buf[:n])
			}
		}
	}
	wg.Go(func() {
		for {
			a, err := ln.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", to)
			if err != nil {
				_ = a.Close()
				continue
			}
			mu.Lock()
			conns = append(conns, a, b)
			mu.Unlock()
			openedIn := generation.Load()
			wg.Go(func() { forward(a, b, openedIn) })
			wg.Go(func() { forward(b, a, openedIn) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", ln.Addr().String())
	}, func() { generation.Add(1) }
}

// TestSilentTCPConnectionIsReplaced uses real sockets, whose buffers accept writes
// even when nothing is delivered. It asserts no duration: the timeout of one minute
// only keeps the test from hanging.
func TestSilentTCPConnectionIsReplaced(t *testing.T) {
	held := &echo{hold: make(chan struct{})}
	_, server := listenWith(t, held, nil, nil)
	dial, dropData := startProxy(t, server)
	l, _ := listen(t, nil, func(c *Config) { c.Dial = dial })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := l.OpenStream(ctx, server)
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Write(small("x")))
	dropData()
	_, err = s.Read()
	var broken *StreamError
	require.ErrorAs(t, err, &broken)
	require.ErrorIs(t, err, ErrSilent)
	assert.True(t, IsTransportError(err))
	close(held.hold)
	_, got, err := call(ctx, l, server, "fresh")
	require.NoError(t, err)
	assert.Equal(t, "fresh", got)
}
