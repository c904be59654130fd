// Package datacentre keeps the members of data centres: the durable roster of
// instances, the announcement of endpoints, and the subscriptions by which
// callers learn of them.
//
// # Rosters
//
// A roster is the list of instance addresses of one data centre, one row of the
// platform's table, changed only by conditional transactions. It says who may be
// chosen for a role (Place), not who is alive. A daemon asks a relay to add it,
// and relays put the requests of some hundred milliseconds into one
// transaction, so that the return of a rack is a few writes. About every 64
// members share a relay, the first live one in rendezvous order, and the relays
// ask the relay of the first group, which reads the store every few seconds. One
// read covers the rosters of all data centres, since it asks only for what has
// changed.
//
// A member confirms its rosters by asking, and the answer carries the age of
// the relay's own confirmation. The time of asking less that age is a safe time
// of confirmation on the asker's clock, however long the answer was under way.
//
// With the store down everything goes on with what is known. A daemon that
// starts then asks its seeds, and takes part without being on the roster.
//
// # Endpoints
//
// For each service the first two live members in rendezvous order are its
// registrars in a data centre. A daemon announces its endpoint to them and
// sends heartbeats; an endpoint expires some seconds after the last one. Who
// calls a service subscribes to both registrars and uses the union of what they
// hold, so that one of them is enough. Changes are pushed and sent again until
// they are acknowledged. Leaving is a change like any other, with a higher
// revision: it wins over what a second registrar still believes.
//
// A registrar that has subscribers also subscribes to the registrars in each
// other data centre, for a bounded number of that data centre's endpoints.
//
// Losing information never empties a list: a registrar that has just taken a
// service on says so (warming) and its list only adds, and a subscriber that
// hears from no registrar keeps what it had. Expiry belongs to registrars that
// listen, and after a pause of its own process a registrar gives everybody a
// new term.
//
// # Shape
//
// Directory is a state machine without clocks, goroutines or I/O: Receive, Tick
// and Finish are called by the control goroutine with the time of its monotonic
// clock. Work on the store goes out as a Job and comes back as a Result.
package datacentre
