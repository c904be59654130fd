package capacity

import (
	"fmt"
	"io"
)

// Report measures all slopes and writes the tables of docs/CAPACITY.md. It
// reports progress line by line.
func Report(w io.Writer, progress func(string)) error {
	of := make(map[string]Measured)
	var order []Measured
	for _, s := range Slopes() {
		progress(s.Name)
		m, err := s.Measure()
		if err != nil {
			return err
		}
		of[s.Name] = m
		order = append(order, m)
	}
	if err := writeSlopes(w, order); err != nil {
		return err
	}
	return writeRows(w, of)
}

func writeSlopes(w io.Writer, all []Measured) error {
	if _, err := fmt.Fprintf(w, "## Measured slopes\n\n| slope | what | base | slope | unit | error | range |\n| --- | --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, m := range all {
		_, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %.1f %% | %s to %s |\n",
			m.Name, m.What, short(m.Base), short(m.Fit.Slope), m.Unit, 100*m.Error, short(m.From), short(m.To))
		if err != nil {
			return err
		}
	}
	return nil
}

func writeRows(w io.Writer, of map[string]Measured) error {
	if _, err := fmt.Fprintf(w, "\n## Roles at the target size\n\n| role | figure | working | value | unit | budget | verdict | slopes | mechanism |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"); err != nil {
		return err
	}
	for _, r := range Rows() {
		v := r.Value(of)
		budget := "-"
		if r.Budget > 0 {
			budget = short(r.Budget)
		}
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.Role, r.Figure, r.Working(of), short(v), r.Unit, budget, r.Verdict(v), r.Source(), r.Mechanism)
		if err != nil {
			return err
		}
	}
	return nil
}
