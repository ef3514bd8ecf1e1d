package sycsse

import "strconv"

// NoID is the id to pass to Append or AppendStart for an event without an id.
const NoID = -1

// Append appends an event to b. An empty name leaves out the event field. The data
// must not contain line ends.
func Append(b []byte, id int, name string, data []byte) []byte {
	b = AppendStart(b, id, name)
	b = append(b, data...)
	return AppendEnd(b)
}

// AppendStart appends the part of an event before its data. The caller then appends
// the data and calls AppendEnd.
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

// AppendEnd appends the end of an event after its data.
func AppendEnd(b []byte) []byte {
	return append(b, '\n', '\n')
}
