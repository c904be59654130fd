package request

import "github.com/rotisserie/eris"

// Importance is the class of a request for load shedding: lower values are shed
// first.
type Importance uint8

// Importance classes, from the first shed to the last shed.
const (
	Sheddable Importance = iota // prefetches, crawlers, background work
	Normal                      // browsing
	High                        // writes for which a person waits
	Critical                    // deposits and print confirmations

	// Classes is the number of importance classes.
	Classes = 4
)

var importanceNames = [Classes]string{"sheddable", "normal", "high", "critical"}

// String returns the name used in configuration files.
func (i Importance) String() string {
	if int(i) >= Classes {
		return "unknown"
	}
	return importanceNames[i]
}

// ParseImportance returns the class with the given name. It returns an error if the
// name is none of sheddable, normal, high and critical.
func ParseImportance(name string) (Importance, error) {
	for i, n := range importanceNames {
		if n == name {
			return Importance(i), nil
		}
	}
	return 0, eris.Errorf("importance %q is unknown: use sheddable, normal, high or critical", name)
}
