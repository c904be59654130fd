// Package config holds what operators declare, how it is checked, how it is
// accepted as a whole, and how it comes into force at every daemon.
//
// # What is declared
//
// A configuration is a set of small objects: organisations, keys, services,
// routes, data centres, links and one settings object. Operators keep them in
// a directory of YAML files, in as many files as they like. LoadDirectory
// reads the directory as a whole and reports every problem that it finds, each
// with file, line and remedy. Defaults and checks stand beside the field that
// they concern.
//
// # How it is accepted
//
// Each object is one row of the platform's table. Apply writes what differs
// from the base in one transaction, conditional on the generation that the
// base was read at, together with a row for the apply's id. All of it is in
// force or none. The loser of a race gets RaceError. When the answer is lost,
// Resolve reads the apply's row back. Absence of that row proves nothing as
// long as the write may still land, so Resolve writes the row itself, as
// rejected: one of the two writes wins, and the other can never take effect.
//
// # How it comes into force
//
// Generations only grow. Two relays in each data centre read the table's
// changes. Deltas go down one tree over the data centre's roster and
// announcements down another. No daemon is an inner node of both trees, so the
// loss of one daemon cuts one tree at most. A slow exchange of generations between neighbours
// repairs what the trees missed, tells every daemon how old its knowledge is,
// and collects who has confirmed. A relay that can't read the table asks
// relays of other data centres. A daemon takes a generation only when it has
// all of it, verified by a digest of the whole content, and never takes a
// lower one than it has. Withdrawn keys are the one exception to waiting: they
// are refused from the first part of a delta on.
package config
