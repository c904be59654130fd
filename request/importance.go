package request

import "github.com/rotisserie/eris"

// Importance orders requests when load must be shed: lower values go first.
type Importance uint8

// Importance classes, from the first shed to the last shed.
const (
	Sheddable Importance = iota // prefetches, crawlers, background work
	Normal                      // browsing
	High                        // writes that a person waits for
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

// ParseImportance returns the class with that name.
// It fails when the name is none of sheddable, normal, high, critical.
func ParseImportance(name string) (Importance, error) {
	for i, n := range importanceNames {
		if n == name {
			return Importance(i), nil
		}
	}
	return 0, eris.Errorf("importance %q is not known: use sheddable, normal, high or critical", name)
}
