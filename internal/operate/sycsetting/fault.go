package sycsetting

import (
	"fmt"
	"strings"
)

// Fault is a setting that is unknown or whose value isn't allowed.
type Fault struct {
	// section and key name the setting.
	section, key string
	// value is the value in the file, or the default if the file doesn't set the key.
	value string
	// requirement says which values are allowed, or why the setting is wrong.
	requirement string
}

// Section returns the section of the setting.
func (f Fault) Section() string { return f.section }

// Key returns the setting's key in its section.
func (f Fault) Key() string { return f.key }

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s", f.section, f.key, f.value, f.requirement)
}

// Faults is the error that lists all faults of a settings file.
type Faults struct {
	// file is the path or name of the file.
	file string
	// list holds the faults in the order of List.
	list []Fault
}

// List returns the faults: first the settings with wrong values in the order of their
// declaration, then unknown settings, then settings that don't fit together.
func (f *Faults) List() []Fault { return f.list }

// Error returns the file's name and the number of faults on the first line, and then one
// fault per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list)+1)
	lines = append(lines, fmt.Sprintf("%s: %d faults", f.file, len(f.list)))
	for _, fault := range f.list {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}
