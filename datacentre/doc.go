// Package datacentre implements membership and endpoint discovery for data
// centres: the durable roster of instances, the announcement of endpoints, and
// the subscriptions through which callers receive them.
//
// # Rosters
//
// A roster is the list of instance addresses of one data centre. It is one row
// of the platform's table and is changed only by conditional transactions. It
// determines which members can be chosen for a role (Place), not which are
// alive. A daemon asks a relay to add it. A relay collects such requests for a
// few hundred milliseconds and writes them in one transaction, so that the
// restart of a whole rack takes only a few writes. Each group of about 64 members
// shares a relay: the first live member in rendezvous order. The relays pull from
// the relay of the first group, which reads the store every few seconds. One read
// covers the rosters of all data centres, since it returns only changed rows.
//
// A member confirms its rosters by pulling from its relay. The answer carries the
// age of the relay's own confirmation. The member sets its confirmation time to
// the time at which it sent the pull minus that age: a safe lower bound on its
// own clock, however long the answer took to arrive.
//
// While the store is down, daemons continue with the last known rosters. A daemon
// that starts during an outage pulls from its seeds, and announces and receives
// endpoints without being on the roster.
//
// # Endpoints
//
// For each service the first two live members in rendezvous order are its
// registrars in a data centre. A daemon announces its endpoint to them and
// sends heartbeats; an endpoint expires some seconds after the last one. A
// daemon that calls a service subscribes to both registrars and uses the union of
// their lists, so that it needs only one of them. Registrars push changes and
// resend them until they are acknowledged. A withdrawal is a change with a higher
// revision, so it overrides an older state that the other registrar still holds.
//
// A registrar that has subscribers also subscribes to the registrars in each
// other data centre, for a bounded number of that data centre's endpoints.
//
// Lost information never empties a list. A registrar that has just become
// responsible for a service marks its list as warming: subscribers add its
// endpoints but remove none because they are missing from it. A subscriber that
// receives nothing from any registrar keeps its last list. Only a registrar
// expires endpoints for missing heartbeats, and after a pause of its own process
// it extends all expiry times by the length of the pause.
//
// # Structure
//
// Directory is a state machine without clocks, goroutines or I/O: The
// control goroutine calls Receive, Tick and Finish with the time of its monotonic
// clock. Store operations are submitted as a Job and return as a Result.
package datacentre
