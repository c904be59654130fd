package config

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

// readObject decodes a mapping into obj, which holds the defaults, and validates
// each field on its own.
func readObject[T any](l *loader, file string, node *yaml.Node, obj T) entry[T] {
	at := &origin{file: file, line: node.Line, lines: map[string]int{}, problems: &l.problems}
	e := entry[T]{obj: obj, at: at}
	before := len(l.problems.list)
	decodeMapping(node, reflect.ValueOf(&e.obj).Elem(), "", at)
	if len(l.problems.list) == before {
		checkFields(&e.obj, at)
	}
	return e
}

// decodeMapping sets the fields of target, a struct, and reports unknown
// fields, fields given twice and values of a wrong type. Fields of nested
// structs are named by a dotted path.
func decodeMapping(node *yaml.Node, target reflect.Value, path string, at *origin) {
	if node.Kind != yaml.MappingNode {
		at.problems.add(at.file, node.Line, "not an object", "write it as fields: "+fieldNames(target.Type()))
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], resolve(node.Content[i+1])
		name := path + key.Value
		field, known := fieldByTag(target, key.Value)
		if !known {
			at.problems.add(at.file, key.Line, fmt.Sprintf("field %s is not known", name), "use one of "+fieldNames(target.Type()))
			continue
		}
		if first, again := at.lines[name]; again {
			at.problems.add(at.file, key.Line, fmt.Sprintf("field %s is given twice", name), fmt.Sprintf("remove this one or the one at line %d", first))
			continue
		}
		at.lines[name] = key.Line
		if field.Kind() == reflect.Struct {
			decodeMapping(value, field, name+".", at)
			continue
		}
		decodeValue(name, value, field, at)
	}
}

// decodeValue sets one field.
func decodeValue(name string, value *yaml.Node, field reflect.Value, at *origin) {
	if value.Tag == "!!null" {
		at.problems.add(at.file, value.Line, fmt.Sprintf("field %s has no value", name), "give a value or remove the field")
		return
	}
	err := value.Decode(field.Addr().Interface())
	if err == nil {
		return
	}
	what := err.Error()
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) {
		what = strings.Join(typeErr.Errors, "; ")
	}
	at.problems.add(at.file, value.Line, fmt.Sprintf("field %s: %s", name, what), "give a value of the field's type, "+typeHint(field.Type()))
}

// typeHint returns an example or a description of the values of a type.
func typeHint(t reflect.Type) string {
	switch t.String() {
	case "time.Duration":
		return "as in 250ms or 2s"
	case "config.Bytes":
		return "as in 1048576, 512KiB or 1MiB"
	case "config.Importance":
		return "sheddable, normal, high or critical"
	case "bool", "*bool":
		return "true or false"
	case "[]string":
		return "as in [a, b]"
	case "map[string]float64":
		return "as in {a: 60, b: 40}"
	case "float64", "uint32":
		return "a number"
	default:
		return "a string"
	}
}

// notInFiles is the YAML name of fields that files cannot set.
const notInFiles = "-"

// fieldByTag returns the field of a struct by its name in files.
func fieldByTag(target reflect.Value, name string) (reflect.Value, bool) {
	t := target.Type()
	for i := range t.NumField() {
		if name != notInFiles && fieldName(t.Field(i)) == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// fieldName returns the name of a field in files.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

// fieldNames lists the names of a struct's fields in files.
func fieldNames(t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if name := fieldName(t.Field(i)); name != notInFiles {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	mustRegister(v, "name", func(f validator.FieldLevel) bool { return validName(f.Field().String()) })
	mustRegister(v, "digest", func(f validator.FieldLevel) bool { return validDigest(f.Field().String()) })
	mustRegister(v, "prefix", func(f validator.FieldLevel) bool { return validPrefix(f.Field().String()) })
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

// checkFields reports the fields that violate their validate tag.
func checkFields(obj any, at *origin) {
	var faults validator.ValidationErrors
	if !errors.As(validate.Struct(obj), &faults) {
		return
	}
	for _, f := range faults {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		name, _, _ := strings.Cut(path, "[")
		if name == "burst" && !at.has(name) {
			continue // its default depends on the rate
		}
		if !at.has(name) {
			at.problem("", fmt.Sprintf("field %s is missing", name), "add "+name+", "+rule(f))
			continue
		}
		at.problem(name, fmt.Sprintf("field %s: %v is not allowed", path, f.Value()), "use "+rule(f))
	}
}

// rule describes in words what a validate tag requires.
func rule(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "a value that is not empty"
	case "name":
		return "lower-case letters, digits and dashes, at most 63, beginning with a letter"
	case "digest":
		return "sha256: and 64 hexadecimal digits, as `wisteriafold key new` prints it"
	case "prefix":
		return "a path of at most 1024 bytes that begins with / and has no //, ?, # or space"
	case "oneof":
		return "one of " + f.Param()
	case "gt":
		return "a value above " + f.Param()
	case "gte":
		return "a value of at least " + f.Param()
	case "lte", "max":
		return "a value of at most " + f.Param()
	case "unique":
		return "each value once"
	case "len":
		return "exactly " + f.Param() + " values"
	default:
		return "a value that satisfies " + f.Tag() + " " + f.Param()
	}
}
