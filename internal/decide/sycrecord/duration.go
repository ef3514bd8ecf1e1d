package sycrecord

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that JSON holds as a Go duration string, such as "1.5s".
type Duration time.Duration

// MarshalJSON returns the duration as a JSON string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON parses a JSON string that holds a Go duration.
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
