package sycrecord

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time span written as a Go duration string, such as "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.New("a duration must be a string such as \"1.5s\"")
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return eris.Wrapf(err, "duration %q", text)
	}
	*d = Duration(v)
	return nil
}
