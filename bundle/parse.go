package bundle

import "auburngap/strictjson"

// Fault is one error in a bundle.
type Fault = strictjson.Fault

// FaultsError contains every fault of a bundle.
type FaultsError = strictjson.FaultsError

// Duration is a time.Duration that is written as text in JSON, such as "250ms".
type Duration = strictjson.Duration

// Parse reads a bundle from JSON with comments and checks it. It returns all faults, each
// with its line, as a *FaultsError.
func Parse(source []byte) (*Bundle, error) {
	b := &Bundle{}
	reader, faults := strictjson.Read(source, b)
	if len(faults) > 0 {
		return nil, &FaultsError{Faults: faults}
	}
	faults = b.Check()
	if len(faults) > 0 {
		return nil, &FaultsError{Faults: reader.Locate(faults)}
	}
	return b, nil
}
