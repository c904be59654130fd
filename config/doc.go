// Package config defines the configuration that operators declare, checks it,
// writes it to the store as a whole, and distributes it to every daemon.
//
// # What is declared
//
// A configuration is a set of small objects: organisations, keys, services,
// routes, data centres, links and one settings object. Operators keep them in
// a directory with any number of YAML files. LoadDirectory reads the directory
// as a whole and reports every problem that it finds, each with file, line and
// remedy. Defaults and checks are declared with the field that they concern.
//
// # How it is accepted
//
// Each object is one row of the platform's table. Apply writes the rows that
// differ from the base, and a row for the apply's id, in one transaction. The
// transaction is conditional on the generation at which the base was read. Either
// the whole apply takes effect or none of it. An apply that loses a race against
// another one fails with RaceError. When the store's answer is lost, Resolve
// reads the apply's row back. A missing row proves nothing while the write may
// still be committed, so Resolve then writes the row itself, as rejected. The
// write that is committed first makes the other one fail for good.
//
// # How it comes into force
//
// Generations only increase. Two relays in each data centre read the table's
// changes. They send deltas down one tree over the data centre's roster and
// announcements down a second tree. No daemon is an inner node of both trees, so
// the loss of one daemon interrupts at most one of them. In addition, daemons
// regularly exchange generations with their ancestors in the trees. This exchange
// delivers what the trees missed, determines the age of each daemon's
// configuration, and collects confirmations. A relay that can't read the table
// asks relays of other data centres. A daemon puts a generation in force only
// when it has received all of it and the digest of the whole content matches, and
// never one that is lower than its own. The only exception are withdrawn keys: a
// daemon refuses them as soon as the first part of a delta arrives.
package config
