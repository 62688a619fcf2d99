package strictjson

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written as text, such as "250ms", in JSON.
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is no time; one such as \"250ms\" is needed", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is no time; one such as \"250ms\" is needed", text)
	}
	*d = Duration(parsed)
	return nil
}

// Or returns the duration, or the fallback if it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}
