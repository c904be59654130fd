package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// maxFileBytes bounds one file of a directory.
const maxFileBytes = 64 << 20

// LoadDirectory reads every .yaml and .yml file of the directory, not of its
// subdirectories, as one configuration. When anything is wrong the error is of
// type Problems and lists all that was found.
func LoadDirectory(dir string) (*Configuration, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrapf(err, "read configuration directory %s: give the path of a readable directory", dir)
	}
	files := map[string][]byte{}
	for _, e := range entries {
		ext := filepath.Ext(e.Name())
		if e.IsDir() || (ext != ".yaml" && ext != ".yml") {
			continue
		}
		path := filepath.Join(dir, e.Name())
		if info, err := os.Stat(path); err == nil && info.Size() > maxFileBytes {
			return nil, Problems{{File: path, What: "file is too large", Remedy: "split it into files under 64 MiB"}}
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrapf(err, "read %s: make the file readable", path)
		}
		files[path] = data
	}
	if len(files) == 0 {
		return nil, Problems{{File: dir, What: "no .yaml or .yml file", Remedy: "give the directory that holds the configuration"}}
	}
	return Parse(files)
}

// Parse reads files, given by name, as one configuration. When anything is
// wrong the error is of type Problems and lists all that was found.
func Parse(files map[string][]byte) (*Configuration, error) {
	l := &loader{}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		l.file(name, files[name])
	}
	c := l.build()
	if err := l.problems.err(); err != nil {
		return nil, err
	}
	return c, nil
}

// entry is one object with the place that it was read from.
type entry[T any] struct {
	obj T
	at  *origin
}

// loader collects the objects of all files.
type loader struct {
	problems      problemList
	organisations []entry[Organisation]
	keys          []entry[Key]
	services      []entry[Service]
	routes        []entry[Route]
	dataCentres   []entry[DataCentre]
	links         []entry[Link]
	settings      []entry[Settings]
}

var yamlLine = regexp.MustCompile(`line (\d+)`)

// file reads all YAML documents of one file.
func (l *loader) file(name string, data []byte) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			line := SyntaxLine(data)
			if m := yamlLine.FindStringSubmatch(err.Error()); m != nil && line == 0 {
				line, _ = strconv.Atoi(m[1])
			}
			l.problems.add(name, line, "not valid YAML: "+err.Error(), "correct the syntax at or just above this line")
			return
		}
		if len(doc.Content) == 1 {
			l.document(name, doc.Content[0])
		}
	}
}

const sectionNames = "organisations, keys, services, routes, data_centres, links or settings"

// document reads one mapping of section names to objects.
func (l *loader) document(file string, node *yaml.Node) {
	node = resolve(node)
	if node.Kind != yaml.MappingNode {
		if node.Tag == "!!null" {
			return
		}
		l.problems.add(file, node.Line, "the file is not a mapping", "begin with a section: "+sectionNames)
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], resolve(node.Content[i+1])
		if first, again := seen[key.Value]; again {
			l.problems.add(file, key.Line, fmt.Sprintf("section %s is given twice", key.Value), fmt.Sprintf("put its objects under the one at line %d", first))
			continue
		}
		seen[key.Value] = key.Line
		l.section(file, key, value)
	}
}

// section reads the objects of one kind.
func (l *loader) section(file string, key, value *yaml.Node) {
	switch key.Value {
	case "organisations":
		readList(l, file, key, value, newOrganisation, &l.organisations)
	case "keys":
		readList(l, file, key, value, zero[Key], &l.keys)
	case "services":
		readList(l, file, key, value, newService, &l.services)
	case "routes":
		readList(l, file, key, value, newRoute, &l.routes)
	case "data_centres":
		readList(l, file, key, value, zero[DataCentre], &l.dataCentres)
	case "links":
		readList(l, file, key, value, zero[Link], &l.links)
	case "settings":
		l.settings = append(l.settings, readObject(l, file, value, newSettings()))
	default:
		l.problems.add(file, key.Line, fmt.Sprintf("section %q is not known", key.Value), "use "+sectionNames)
	}
}

func zero[T any]() T {
	var t T
	return t
}

// readList reads a sequence of mappings.
func readList[T any](l *loader, file string, key, node *yaml.Node, newObject func() T, into *[]entry[T]) {
	if node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.SequenceNode {
		l.problems.add(file, node.Line, fmt.Sprintf("%s is not a list", key.Value), "begin each object with a dash")
		return
	}
	for _, item := range node.Content {
		*into = append(*into, readObject(l, file, resolve(item), newObject()))
	}
}

// resolve returns the node that an alias stands for, or the node itself.
func resolve(n *yaml.Node) *yaml.Node {
	if n.Kind == yaml.AliasNode && n.Alias != nil {
		return n.Alias
	}
	return n
}
