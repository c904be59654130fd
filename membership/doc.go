// Package membership tracks the daemons and the backend server local to each.
//
// Every daemon publishes one entry about itself: as a row in the platform's store,
// for daemons that start later, and to the daemons that it already knows. Entries
// are ordered by the incarnation of their writer and a sequence number, so that
// copies may arrive in any order and over any path. A starting daemon first
// writes its row and then reads all rows. Of two daemons that start at the same
// time, at least one therefore reads the other's row and announces itself to the
// other. No daemon has to watch the rows for changes.
//
// Entries only tell other daemons where calls may be sent. Whether a backend
// server accepts calls is decided by its local daemon, from the heartbeats that
// it receives (Local).
package membership
