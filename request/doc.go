// Package request describes one call of a request tree: the organisation that it
// is made for, its importance, its deadline and the number of extra attempts that
// it may still make. It also sheds outside requests where they enter (EntryControl).
// The package does not choose endpoints or manage queues.
package request
