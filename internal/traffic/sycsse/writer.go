package sycsse

import "strconv"

// NoID leaves an event without an id.
const NoID = -1

// Append appends an event to b. The data must not hold line ends.
func Append(b []byte, id int, name string, data []byte) []byte {
	b = AppendStart(b, id, name)
	b = append(b, data...)
	return AppendEnd(b)
}

// AppendStart appends an event up to the start of its data.
func AppendStart(b []byte, id int, name string) []byte {
	if name != "" {
		b = append(b, "event: "...)
		b = append(b, name...)
		b = append(b, '\n')
	}
	if id != NoID {
		b = append(b, "id: "...)
		b = strconv.AppendInt(b, int64(id), 10)
		b = append(b, '\n')
	}
	return append(b, "data: "...)
}

// AppendEnd ends the event that AppendStart began.
func AppendEnd(b []byte) []byte {
	return append(b, '\n', '\n')
}
