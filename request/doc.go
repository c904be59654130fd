// Package request describes one call of a request tree: who it is for, how
// important it is, how long it may take and how many extra attempts its tree
// may still make. The package decides nothing about endpoints or queues.
package request
