package membership

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Bounds of the fields of an entry. Values beyond them cannot come from a daemon.
const (
	maxNameBytes = 255     // of an address, name or id
	maxSlots     = 1 << 20 // calls that one backend server runs at once
	maxUnixMs    = 1 << 52 // of start times; below it they can be raised without overflow
)

// InvalidEntryError reports an entry that no daemon writes.
type InvalidEntryError struct {
	Field string
	Value any
}

// Error names the field and the remedy.
func (e *InvalidEntryError) Error() string {
	return fmt.Sprintf("%s of the entry is invalid (%.80q): find out what else writes to this table, and delete the row", e.Field, fmt.Sprint(e.Value))
}

// Check returns an InvalidEntryError if e cannot come from a daemon: an address that
// nothing can listen on, a missing name, or a number out of range.
func Check(e *Entry) error {
	if !isAddress(e.GetPeer()) {
		return &InvalidEntryError{"peer", e.GetPeer()}
	}
	for field, name := range map[string]string{"data_centre": e.DataCentre, "region": e.Region, "service": e.Service} {
		if name == "" || len(name) > maxNameBytes {
			return &InvalidEntryError{field, name}
		}
	}
	switch {
	case len(e.Backend) > maxNameBytes:
		return &InvalidEntryError{"backend", e.Backend}
	case State(e.State) > Gone:
		return &InvalidEntryError{"state", e.State}
	case e.Slots > maxSlots:
		return &InvalidEntryError{"slots", e.Slots}
	case e.Born < 0 || e.Born > maxUnixMs:
		return &InvalidEntryError{"born", e.Born}
	case e.Incarnation < 0 || e.Incarnation > maxUnixMs:
		return &InvalidEntryError{"incarnation", e.Incarnation}
	}
	return nil
}

// isAddress reports whether s is a host and a port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" || len(s) > maxNameBytes || !utf8.ValidString(s) || strings.ContainsAny(host, " /\t\r\n\x00") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
