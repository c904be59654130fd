package instance

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"wisteriafold/config"
)

// Settings holds the settings file of one daemon. Whatever is the same for the
// whole fleet belongs in the configuration instead.
type Settings struct {
	// Instance is the name of the instance, for logs and status.
	Instance string `yaml:"instance" validate:"required"`

	// Region and DataCentre say where the instance is. The configuration must
	// know the data centre.
	Region     string `yaml:"region" validate:"required"`
	DataCentre string `yaml:"data_centre" validate:"required"`

	Listen   Listen   `yaml:"listen"`
	Backend  Backend  `yaml:"backend"`
	Platform Platform `yaml:"platform"`

	// Seeds are peer addresses in the daemon's own data centre, which a new
	// daemon contacts first. They need not all be up. All daemons of a data
	// centre should have the same list.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`

	// FarSeeds are peer addresses in other data centres, which are contacted
	// while none of their rosters is known.
	FarSeeds []string `yaml:"far_seeds" validate:"dive,hostname_port"`

	TLS    TLS    `yaml:"tls"`
	Limits Limits `yaml:"limits"`

	// LogLevel is debug, info, warn or error. Decisions are logged at info.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
}

// Listen holds the addresses of the four listeners, host:port. The peers
// address is how other daemons reach this one, so it must not be 0.0.0.0.
type Listen struct {
	Callers  string `yaml:"callers" validate:"required,hostname_port"`
	Egress   string `yaml:"egress" validate:"required,hostname_port"`
	Peers    string `yaml:"peers" validate:"required,hostname_port"`
	Operator string `yaml:"operator" validate:"required,hostname_port"`
}

// Backend describes the backend server of the daemon.
type Backend struct {
	Service     string `yaml:"service" validate:"required"`
	Address     string `yaml:"address" validate:"required,hostname_port"`
	Slots       int    `yaml:"slots" validate:"required,min=1"`       // calls that it runs at once
	Connections int    `yaml:"connections" validate:"required,min=1"` // connections that it accepts

	// HealthPath is requested every HealthEvery. A 2xx answer announces the
	// endpoint, 503 drains it. A failed health check alone does not withdraw
	// it, except after several consecutive refused connections.
	HealthPath  string        `yaml:"health_path" validate:"startswith=/"`
	HealthEvery time.Duration `yaml:"health_every" validate:"min=100ms,max=1m"`
}

// Platform says where the table service and the object store are.
type Platform struct {
	Address string        `yaml:"address" validate:"required,hostname_port"`
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"` // for one operation
}

// TLS names PEM files for mutual TLS between daemons. All three or none are set;
// with none the links are plain TCP.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Enabled reports whether the links use mutual TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits bounds the resources that one daemon uses.
type Limits struct {
	Callers     int           `yaml:"callers" validate:"min=1"`           // caller connections at once
	HeaderBytes int           `yaml:"header_bytes" validate:"min=1024"`   // request line and header fields
	HeaderTime  time.Duration `yaml:"header_time" validate:"min=100ms"`   // for a caller to send a complete request head
	IdleTime    time.Duration `yaml:"idle_time" validate:"min=1s"`        // a keep-alive connection of a caller may be idle
	PeerCalls   int           `yaml:"peer_calls" validate:"min=1"`        // calls from other daemons at once
	Shutdown    time.Duration `yaml:"shutdown" validate:"min=1s,max=10m"` // for calls in flight to end
	BodyTime    time.Duration `yaml:"body_time" validate:"min=1s,max=1h"` // for a complete body, each direction
	EntryWait   time.Duration `yaml:"entry_wait" validate:"min=0,max=1s"` // for contract tokens to become available
	MailboxSize int           `yaml:"mailbox_size" validate:"min=64,max=1000000"`
}

// DefaultSettings returns the defaults, which a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		LogLevel: "info",
		Backend:  Backend{HealthPath: "/healthz", HealthEvery: 500 * time.Millisecond},
		Platform: Platform{Timeout: 2 * time.Second},
		Limits: Limits{
			Callers:     4096,
			HeaderBytes: 16 << 10,
			HeaderTime:  10 * time.Second,
			IdleTime:    time.Minute,
			PeerCalls:   2048,
			Shutdown:    time.Minute,
			BodyTime:    10 * time.Minute,
			EntryWait:   250 * time.Millisecond,
			MailboxSize: 8192,
		},
	}
}

// SettingsError reports what is wrong with a settings file.
type SettingsError struct {
	File   string
	Line   int // 0 when the error belongs to no single line
	What   string
	Remedy string
}

// Error returns file, line, what is wrong and the remedy.
func (e *SettingsError) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: %s: %s", at, e.What, e.Remedy)
}

// LoadSettings reads and checks a settings file. Its errors are *SettingsError.
func LoadSettings(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &SettingsError{File: file, What: err.Error(), Remedy: "name a readable settings file with --settings"}
	}
	return ParseSettings(file, b)
}

// ParseSettings parses and checks the text of a settings file. file is used in
// errors only.
func ParseSettings(file string, text []byte) (Settings, error) {
	s := DefaultSettings()
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil {
		return Settings{}, &SettingsError{File: file, Line: config.SyntaxLine(text), What: err.Error(), Remedy: "correct the line; the fields are listed in docs/OPERATORS.md"}
	}
	var root yaml.Node
	_ = yaml.Unmarshal(text, &root) // cannot fail: the same text was decoded above
	if err := settingsValidator().Struct(s); err != nil {
		return Settings{}, validationError(file, &root, err)
	}
	if err := s.checkTogether(); err != nil {
		return Settings{}, &SettingsError{File: file, Line: config.SyntaxLine(text), What: err.Error(), Remedy: "correct the fields named"}
	}
	return s, nil
}

func (s *Settings) checkTogether() error {
	set := 0
	for _, f := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return fmt.Errorf("tls needs certificate, key and authority, or none of them")
	}
	host, _, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		return fmt.Errorf("listen.peers must be an IP address that other daemons can reach, not %q", host)
	}
	return nil
}

func settingsValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	return v
}

func validationError(file string, root *yaml.Node, err error) error {
	faults, ok := err.(validator.ValidationErrors) //nolint:errorlint // the validator returns it unwrapped
	if !ok || len(faults) == 0 {
		return &SettingsError{File: file, What: err.Error(), Remedy: "correct the file"}
	}
	f := faults[0]
	_, path, _ := strings.Cut(f.Namespace(), ".")
	what := path + " is missing"
	remedy := "add it"
	if f.Tag() != "required" {
		what = fmt.Sprintf("%s is %v", path, f.Value())
		remedy = fmt.Sprintf("it must satisfy %s %s", f.Tag(), f.Param())
	}
	return &SettingsError{File: file, Line: lineOf(root, strings.Split(path, ".")), What: what, Remedy: remedy}
}

// lineOf returns the line of the deepest node on path that exists in the file.
func lineOf(n *yaml.Node, path []string) int {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	if len(path) == 0 || n.Kind != yaml.MappingNode {
		return n.Line
	}
	name, _, _ := strings.Cut(path[0], "[")
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			if len(path) == 1 {
				return n.Content[i].Line
			}
			return lineOf(n.Content[i+1], path[1:])
		}
	}
	return n.Line
}
