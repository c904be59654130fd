package config

import (
	"bytes"
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"
)

// Op is what a change does to an object.
type Op string

// Operations of a change.
const (
	OpAdd    Op = "add"
	OpRemove Op = "remove"
	OpChange Op = "change"
)

// FieldChange is one field of a changed object. A field that is left out is
// shown as empty.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Change is the difference in one object.
type Change struct {
	Op     Op            `json:"op"`
	Kind   Kind          `json:"kind"`
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields"`
}

// String returns the change in one line.
func (c Change) String() string {
	sign := map[Op]string{OpAdd: "+", OpRemove: "-", OpChange: "~"}[c.Op]
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", sign, c.Kind, c.Name)
	for i, f := range c.Fields {
		sep := ", "
		if i == 0 {
			sep = ": "
		}
		switch c.Op {
		case OpChange:
			fmt.Fprintf(&b, "%s%s %s -> %s", sep, f.Field, f.Old, f.New)
		case OpAdd:
			fmt.Fprintf(&b, "%s%s %s", sep, f.Field, f.New)
		case OpRemove:
			fmt.Fprintf(&b, "%s%s %s", sep, f.Field, f.Old)
		}
	}
	return b.String()
}

// Changes are all differences between two configurations, by kind and name.
type Changes []Change

// String returns one line for each change.
func (cs Changes) String() string {
	lines := make([]string, len(cs))
	for i, c := range cs {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}

// Diff returns the changes that turn before into after.
func Diff(before, after *Configuration) Changes {
	old, current := objectsByKey(before), objectsByKey(after)
	var out Changes
	for key, obj := range current {
		kind, name := splitKey(key)
		previous, known := old[key]
		fields := diffFields(previous, obj)
		switch {
		case !known:
			out = append(out, Change{OpAdd, kind, name, fields})
		case len(fields) > 0:
			out = append(out, Change{OpChange, kind, name, fields})
		}
	}
	for key, obj := range old {
		if _, kept := current[key]; !kept {
			kind, name := splitKey(key)
			out = append(out, Change{OpRemove, kind, name, diffFields(obj, nil)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return rowKey(out[i].Kind, out[i].Name) < rowKey(out[j].Kind, out[j].Name) })
	return out
}

func objectsByKey(c *Configuration) map[string]any {
	out := map[string]any{}
	for kind, ops := range kinds {
		ops.each(c, func(name string, obj any) { out[rowKey(kind, name)] = obj })
	}
	return out
}

// diffFields compares two objects of one type. One of them may be nil.
func diffFields(before, after any) []FieldChange {
	old, current := flatten(before), flatten(after)
	var out []FieldChange
	for name, v := range current {
		if old[name] != v {
			out = append(out, FieldChange{name, old[name], v})
		}
	}
	for name, v := range old {
		if _, kept := current[name]; !kept {
			out = append(out, FieldChange{name, v, ""})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}

// flatten returns the fields of an object as text, without its name and
// without zero values.
func flatten(obj any) map[string]string {
	out := map[string]string{}
	if obj == nil {
		return out
	}
	flattenStruct(reflect.ValueOf(obj).Elem(), "", out)
	return out
}

func flattenStruct(v reflect.Value, path string, out map[string]string) {
	for i := range v.NumField() {
		name, field := path+fieldName(v.Type().Field(i)), v.Field(i)
		switch {
		case fieldName(v.Type().Field(i)) == notInFiles:
		case field.Kind() == reflect.Struct:
			flattenStruct(field, name+".", out)
		case name != "name" && name != "digest" && !field.IsZero():
			out[name] = formatField(reflect.Indirect(field).Interface())
		}
	}
}

// formatField formats a field's value as it is written in files.
func formatField(v any) string {
	if m, ok := v.(encoding.TextMarshaler); ok {
		if b, err := m.MarshalText(); err == nil {
			return string(b)
		}
	}
	return fmt.Sprint(v)
}

// diffRows returns the changes of rows that turn the content into the
// configuration, withdrawn keys first.
func diffRows(c *content, next *Configuration) ([]Row, error) {
	current, err := next.rows()
	if err != nil {
		return nil, err
	}
	var out []Row
	for key, value := range current {
		if old, known := c.rows[key]; !known || !bytes.Equal(old, value) {
			out = append(out, Row{Key: key, Value: value})
		}
	}
	for key := range c.rows {
		if _, kept := current[key]; !kept {
			out = append(out, Row{Key: key, Deleted: true})
		}
	}
	sortRows(out)
	return out, nil
}

// sortRows orders rows by key, with deleted keys first.
func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		if x, y := a.withdrawsKey(), b.withdrawsKey(); x != y {
			if x {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Key, b.Key)
	})
}

// withdrawsKey reports whether the row withdraws an organisation's key.
func (r *Row) withdrawsKey() bool {
	kind, _ := splitKey(r.Key)
	return r.Deleted && kind == KindKey
}
