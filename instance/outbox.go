package instance

import "wisteriafold/wire"

// outbox sends control messages over the links. Each state machine has an
// adapter of its own, so that it can send only its own kind of message.
type outbox struct{ d *Daemon }

type (
	loanOutbox   struct{ outbox }
	spreadOutbox struct{ outbox }
	memberOutbox struct{ outbox }
)

// Send implements contract.Outbox.
func (o loanOutbox) Send(to string, m *wire.Loan) {
	o.d.links.SendControl(to, &wire.Control{Kind: &wire.Control_Loan{Loan: m}})
}

// Send implements config.Outbox.
func (o spreadOutbox) Send(to string, m *wire.Spread) {
	o.d.links.SendControl(to, &wire.Control{Kind: &wire.Control_Spread{Spread: m}})
}

// Send implements datacentre.Outbox.
func (o memberOutbox) Send(to string, m *wire.Member) {
	o.d.links.SendControl(to, &wire.Control{Kind: &wire.Control_Member{Member: m}})
}
