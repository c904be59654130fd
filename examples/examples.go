// Package examples holds two complete example deployments, each with a
// configuration directory and a settings file for every daemon.
package examples

import (
	"embed"
	"io/fs"
	"path"

	"github.com/rotisserie/eris"

	"wisteriafold/config"
	"wisteriafold/instance"
)

//go:embed kurume linie
var files embed.FS

// Names are the names of the example deployments.
var Names = []string{"kurume", "linie"}

// Configuration returns the configuration of a deployment. It returns an error for
// a name that is not in Names.
func Configuration(name string) (*config.Configuration, error) {
	text, err := read(path.Join(name, "configuration"))
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// Settings returns the settings of all daemons of a deployment, ordered by
// file name. It returns an error for a name that is not in Names.
func Settings(name string) ([]instance.Settings, error) {
	dir := path.Join(name, "daemons")
	entries, err := fs.ReadDir(files, dir)
	if err != nil {
		return nil, unknown(name)
	}
	out := make([]instance.Settings, 0, len(entries))
	for _, e := range entries {
		b, err := files.ReadFile(path.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		s, err := instance.ParseSettings(e.Name(), b)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func read(dir string) (map[string][]byte, error) {
	entries, err := fs.ReadDir(files, dir)
	if err != nil {
		return nil, unknown(path.Dir(dir))
	}
	out := make(map[string][]byte, len(entries))
	for _, e := range entries {
		b, err := files.ReadFile(path.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		out[e.Name()] = b
	}
	return out, nil
}

func unknown(name string) error {
	return eris.Errorf("there is no example deployment %q: use kurume or linie", name)
}
