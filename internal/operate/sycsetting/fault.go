package sycsetting

import (
	"fmt"
	"strings"
)

// Fault is one wrong line of a settings file.
type Fault struct {
	section string
	key     string
	value   string
	allowed string
}

// Section is the section that the fault is in.
func (f Fault) Section() string { return f.section }

// Key is the key that the fault is at.
func (f Fault) Key() string { return f.key }

// String renders the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s", f.section, f.key, f.value, f.allowed)
}

// Faults lists all faults of a settings file.
type Faults struct {
	file string
	list []Fault
}

// List returns the faults in the order of the settings' documentation.
func (f *Faults) List() []Fault { return f.list }

// Error renders one fault a line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults", f.file, len(f.list)))
	for _, fault := range f.list {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}
