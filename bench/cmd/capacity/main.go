// Command capacity measures the slopes behind docs/CAPACITY.md and prints the
// page's tables.
package main

import (
	"fmt"
	"os"

	"wisteriafold/bench/capacity"
)

func main() {
	progress := func(name string) { fmt.Fprintln(os.Stderr, "measuring", name) }
	if err := capacity.Report(os.Stdout, progress); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
