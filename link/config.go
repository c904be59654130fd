package link

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/wire"
)

// Config configures the sessions of one daemon. Start from Defaults.
type Config struct {
	// Hello identifies this daemon to its peer when a session is opened.
	// Instance is its peer address, ip:port. New sets Protocol.
	Hello *wire.Hello

	// TLS holds this daemon's certificate in Certificates, and the certificate
	// authorities that it trusts in RootCAs and ClientCAs. nil means plain TCP:
	// any process that can reach the peer port is accepted, unauthenticated.
	TLS *tls.Config

	// Dial opens a connection to a peer address. nil means a TCP dialler.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// DialTimeout bounds the dial plus handshake of an outgoing session, the
	// handshake of an accepted one, and the wait for the first frame of an
	// accepted stream.
	DialTimeout time.Duration

	// RedialWait is the time after a failed dial during which control messages
	// do not start another dial. Opening a stream always does.
	RedialWait time.Duration

	// PingInterval is how long a session with open streams may receive nothing
	// before it is pinged.
	PingInterval time.Duration

	// PingTimeout is how long the session may receive nothing after a ping before
	// it becomes suspect. While the peer can be dialled, a silent connection with
	// open streams is replaced within PingInterval + PingTimeout + DialTimeout.
	PingTimeout time.Duration

	// DeadTimeout is the time after which a suspect session is closed even though
	// no new connection to the peer could be established.
	DeadTimeout time.Duration

	// IdleTimeout is the time without streams and control messages after which
	// a session is retired.
	IdleTimeout time.Duration

	// WriteTimeout bounds the time that the write of one yamux frame may wait for
	// the connection.
	WriteTimeout time.Duration

	// Tick is the interval of the health and idle checks.
	Tick time.Duration

	// MaxStreams is the number of streams of all peers that are served at once.
	// Further streams are answered "not run".
	MaxStreams int

	// MaxSessions is the number of sessions to keep. Above it, the sessions
	// without streams are retired, least recently used first.
	MaxSessions int

	// MaxHandshakes is the number of accepted connections that may be in the
	// handshake at once. Further connections are closed.
	MaxHandshakes int

	// ControlQueue is the number of control messages queued for one peer. Further
	// messages are dropped and counted.
	ControlQueue int
}

// Defaults returns the default configuration. The caller has to set Hello.
func Defaults() Config {
	return Config{
		DialTimeout:   time.Second,
		RedialWait:    500 * time.Millisecond,
		PingInterval:  500 * time.Millisecond,
		PingTimeout:   time.Second,
		DeadTimeout:   10 * time.Second,
		IdleTimeout:   30 * time.Second,
		WriteTimeout:  3 * time.Second,
		Tick:          100 * time.Millisecond,
		MaxStreams:    4096,
		MaxSessions:   1024,
		MaxHandshakes: 256,
		ControlQueue:  256,
	}
}

func (c *Config) check() error {
	if c.Hello == nil || c.Hello.Instance == "" {
		return eris.New("link: Hello.Instance is empty: set this daemon's peer address")
	}
	for name, d := range map[string]time.Duration{
		"DialTimeout": c.DialTimeout, "RedialWait": c.RedialWait, "PingInterval": c.PingInterval,
		"PingTimeout": c.PingTimeout, "DeadTimeout": c.DeadTimeout, "IdleTimeout": c.IdleTimeout,
		"WriteTimeout": c.WriteTimeout, "Tick": c.Tick,
	} {
		if d <= 0 {
			return eris.Errorf("link: %s must be positive: start from link.Defaults()", name)
		}
	}
	for name, n := range map[string]int{
		"MaxStreams": c.MaxStreams, "MaxSessions": c.MaxSessions,
		"MaxHandshakes": c.MaxHandshakes, "ControlQueue": c.ControlQueue,
	} {
		if n <= 0 {
			return eris.Errorf("link: %s must be positive: start from link.Defaults()", name)
		}
	}
	return nil
}
