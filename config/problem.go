package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in the files that an operator wrote.
type Problem struct {
	File   string `json:"file"`
	Line   int    `json:"line"`   // from 1, 0 when the fault has no line
	What   string `json:"what"`   // the fault
	Remedy string `json:"remedy"` // what to change
}

// Error returns file, line, fault and remedy in one line.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", p.File, p.What, p.Remedy)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.What, p.Remedy)
}

// Problems are all faults of one directory, ordered by file and line.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// problemList collects problems while a directory is read.
type problemList struct{ list Problems }

func (r *problemList) add(file string, line int, what, remedy string) {
	r.list = append(r.list, Problem{File: file, Line: line, What: what, Remedy: remedy})
}

// err returns the problems in order, or nil when there are none.
func (r *problemList) err() error {
	if len(r.list) == 0 {
		return nil
	}
	sort.SliceStable(r.list, func(i, j int) bool {
		a, b := r.list[i], r.list[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return r.list
}

// origin is the place of one object in the files.
type origin struct {
	file     string
	line     int
	lines    map[string]int // line of each field that is given
	problems *problemList
}

// has reports whether the field is given.
func (o *origin) has(field string) bool { return o.lines[field] != 0 }

// problem reports a fault of one field, or of the object when field is empty.
func (o *origin) problem(field, what, remedy string) {
	line := o.lines[field]
	if line == 0 {
		line = o.line
	}
	o.problems.add(o.file, line, what, remedy)
}
