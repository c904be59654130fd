package contract

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriafold/wire"
)

// Default durations of a Config.
const (
	DefaultLoanTTL   = time.Second
	DefaultHolderTTL = 2 * time.Second
	DefaultMargin    = 250 * time.Millisecond
	DefaultFence     = 2 * time.Hour
	DefaultGap       = 5 * time.Second
	DefaultMaxWait   = 250 * time.Millisecond
	DefaultTimeout   = 120 * time.Millisecond
)

const (
	// Groups is the number of groups that contracts are hashed into. All
	// contracts of a group have the same holders.
	Groups = 8

	// HoldersPerDataCentre is the number of holders that split the share of a
	// data centre.
	HoldersPerDataCentre = 2

	// fenceDrift divides the fence time: 1/fenceDrift of it is added before a
	// share is taken over, because clocks run at different speeds.
	fenceDrift = 1000
)

// Outbox sends control messages to other daemons.
type Outbox interface {
	// Send sends m to the daemon at the peer address to, without blocking. The
	// message may be lost, delayed or delivered twice.
	Send(to string, m *wire.Loan)
}

// Config is the identity and the durations of a Machine. A zero duration stands
// for its default.
type Config struct {
	Self       string     // peer address of this daemon, ip:port
	DataCentre string     // data centre of this daemon
	Epoch      time.Time  // start of the process, with its monotonic reading
	Rand       *rand.Rand // source of session and incarnation numbers; used by the control goroutine only
	Outbox     Outbox     // sends messages to other daemons

	LoanTTL   time.Duration // lifetime of a loan to a daemon; a longer one leaves more capacity unused after a crash, a shorter one needs more messages
	HolderTTL time.Duration // lifetime of a loan between holders; at least LoanTTL plus two margins
	Margin    time.Duration // added by the lender to a loan's lifetime, because clocks run at different speeds
	Fence     time.Duration // a holder stops when its roster has not been confirmed for this long
	Gap       time.Duration // a longer time between two steps of the control goroutine is treated as a pause of the process
	MaxWait   time.Duration // longest time that a request waits for tokens to be lent
	Timeout   time.Duration // an ask that has not been answered for this long is repeated
}

func (c *Config) setDefaults() {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&c.LoanTTL, DefaultLoanTTL)
	set(&c.HolderTTL, DefaultHolderTTL)
	set(&c.Margin, DefaultMargin)
	set(&c.Fence, DefaultFence)
	set(&c.Gap, DefaultGap)
	set(&c.MaxWait, DefaultMaxWait)
	set(&c.Timeout, DefaultTimeout)
}

// loanSpan returns the longest time for which a loan can be used after its
// lender has stopped.
func (c *Config) loanSpan() time.Duration { return c.HolderTTL + c.Margin }

// fenceSpan returns the time after which an address that has not answered since
// a roster change can no longer spend any tokens.
func (c *Config) fenceSpan() time.Duration {
	return c.Fence + c.Fence/fenceDrift + c.loanSpan()
}

// Share is the part of a contract that belongs to one data centre.
type Share struct {
	DataCentre string
	Weight     float64 // relative to the other shares of the contract
}

// Contract is a rate and a burst, counted over the whole fleet.
type Contract struct {
	Name    string  // organisation, or link; the tokens of a link are bytes
	Version uint64  // generation of the contract's last change, from 1; the same on every daemon
	Rate    float64 // tokens per second
	Burst   float64 // tokens
	Shares  []Share // split between data centres
}

// Amount is a rate together with the size of the bucket that it fills.
type Amount struct {
	Rate float64 // tokens per second
	Cap  float64 // tokens
}

func (a Amount) plus(b Amount) Amount   { return Amount{a.Rate + b.Rate, a.Cap + b.Cap} }
func (a Amount) minus(b Amount) Amount  { return Amount{a.Rate - b.Rate, a.Cap - b.Cap} }
func (a Amount) times(f float64) Amount { return Amount{a.Rate * f, a.Cap * f} }
func (a Amount) atMost(b Amount) Amount { return Amount{min(a.Rate, b.Rate), min(a.Cap, b.Cap)} }

func (a Amount) atLeast(b Amount) Amount { return Amount{max(a.Rate, b.Rate), max(a.Cap, b.Cap)} }

func (a Amount) within(b Amount, s Amount) bool {
	return a.Rate <= b.Rate+s.Rate && a.Cap <= b.Cap+s.Cap
}

// covers reports whether a is at least b in each field in which b is above zero.
func (a Amount) covers(b Amount) bool {
	return (b.Rate <= 0 || a.Rate >= b.Rate) && (b.Cap <= 0 || a.Cap >= b.Cap)
}

// differs reports whether a and b differ enough to send a message: in one field,
// by more than a relative plus an absolute amount, or only one of them is zero.
func (a Amount) differs(b Amount) bool {
	const relative, absolute = 0.15, 0.05
	exceeds := func(x, y float64) bool {
		return (y == 0) != (x == 0) || max(x-y, y-x) > relative*max(x, y)+absolute
	}
	return exceeds(a.Rate, b.Rate) || exceeds(a.Cap, b.Cap)
}

// share returns the part of the contract that belongs to the data centre.
func (c *Contract) share(dc string) Amount {
	var sum, own float64
	for _, s := range c.Shares {
		sum += s.Weight
		if s.DataCentre == dc {
			own += s.Weight
		}
	}
	if sum == 0 {
		return Amount{}
	}
	return Amount{c.Rate, c.Burst}.times(own / sum)
}

// InvalidContractError reports a contract that SetContracts rejects.
type InvalidContractError struct {
	Name   string
	Remedy string
}

// Error returns a text with the contract's name and the remedy.
func (e *InvalidContractError) Error() string {
	return fmt.Sprintf("invalid contract %q: %s", e.Name, e.Remedy)
}

func (c *Contract) validate() error {
	fail := func(remedy string) error { return &InvalidContractError{Name: c.Name, Remedy: remedy} }
	switch {
	case c.Name == "":
		return fail("give it a name")
	case c.Version == 0:
		return fail("number its version from 1")
	case !(c.Rate > 0):
		return fail("give it a rate above 0 tokens per second")
	case !(c.Burst >= 1):
		return fail("give it a burst of at least 1 token")
	case len(c.Shares) == 0:
		return fail("split it between at least one data centre")
	}
	var sum float64
	for _, s := range c.Shares {
		if !(s.Weight >= 0) {
			return fail("give each data centre a weight of 0 or more")
		}
		sum += s.Weight
	}
	if sum == 0 {
		return fail("give at least one data centre a weight above 0")
	}
	return nil
}

// Roster is the durable list of the instances of one data centre.
type Roster struct {
	DataCentre  string
	Version     uint64    // 1 for the first version written, incremented by each change; 0 if none has been written
	Addresses   []string  // peer addresses of the members
	Expelled    []string  // addresses that were removed by another daemon, not by their own
	ConfirmedAt time.Time // local time just before the store read that returned this roster was sent
}
