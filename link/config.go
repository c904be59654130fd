package link

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/wire"
)

// Config tunes the sessions of one daemon. Start from Defaults.
type Config struct {
	// Hello is what this daemon says about itself when a session opens.
	// Instance is its peer address, ip:port. Protocol is filled in by New.
	Hello *wire.Hello

	// TLS holds this daemon's certificate in Certificates, and the authorities
	// that it trusts in RootCAs and ClientCAs. nil means plain TCP: everybody
	// who can reach the peer port is believed.
	TLS *tls.Config

	// Dial opens a connection to a peer address. nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// DialTimeout bounds dial and handshake of a session, on both sides, and the
	// wait for the first frame of an accepted stream.
	DialTimeout time.Duration

	// RedialWait is the time after a failed dial during which control messages
	// do not cause another one. Streams always do.
	RedialWait time.Duration

	// PingInterval is how long a session with open streams may receive nothing
	// before it is pinged.
	PingInterval time.Duration

	// PingTimeout is how long a ping may stay unanswered before its session is
	// suspect. PingInterval + PingTimeout + DialTimeout bounds the time in which
	// a silent connection is replaced while the peer can be dialled.
	PingTimeout time.Duration

	// DeadTimeout is the time after which a suspect session is closed although
	// the peer cannot be dialled either.
	DeadTimeout time.Duration

	// IdleTimeout is the time without streams and control messages after which
	// a session is retired.
	IdleTimeout time.Duration

	// WriteTimeout bounds the wait for room on a connection, for one frame.
	WriteTimeout time.Duration

	// Tick is the interval of the health and idle checks.
	Tick time.Duration

	// MaxStreams is the number of streams that are served at once for all
	// peers. One more is answered "not run".
	MaxStreams int

	// MaxSessions is the number of sessions held; above it the ones unused for
	// longest are retired.
	MaxSessions int

	// MaxHandshakes is the number of accepted connections that may be in their
	// handshake at once; further ones are closed.
	MaxHandshakes int

	// ControlQueue is the number of control messages that wait for one peer;
	// further ones are dropped and counted.
	ControlQueue int
}

// Defaults returns the configuration in force unless settings say otherwise.
// Hello is left to the caller.
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
