package bundle

import "auburngap/strictjson"

// Fault is one thing wrong with a bundle.
type Fault = strictjson.Fault

// FaultsError is every fault of a bundle.
type FaultsError = strictjson.FaultsError

// Duration is a time.Duration written as text, such as "250ms", in JSON.
type Duration = strictjson.Duration

// Parse reads a bundle from JSON with comments and checks it. Faults, every
// one with its line, come as *FaultsError.
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
