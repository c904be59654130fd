// Package capacity works out what each role of the system costs at the target
// size. It measures slopes of the real code over small sizes, fits a line to
// each, and multiplies. The command bench/cmd/capacity prints the tables of
// docs/CAPACITY.md afresh.
package capacity
