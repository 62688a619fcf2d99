package operator

import (
	"context"
	"errors"
	"io"

	"auburngap/bundle"
)

// BundleCheck is "auburngap bundle check": it prints every fault of a bundle.
type BundleCheck struct {
	outputFlags
	File string `arg:"positional,required" placeholder:"FILE"`
}

// checkAnswer is the JSON output of a check.
type checkAnswer struct {
	File   string         `json:"file"`
	Faults []bundle.Fault `json:"faults"`
}

// Run implements command. It returns faults as a *bundle.FaultsError.
func (c *BundleCheck) Run(_ context.Context, env Environment) error {
	_, err := readBundle(c.File)
	answer := checkAnswer{File: c.File, Faults: []bundle.Fault{}}
	var faults *bundle.FaultsError
	if errors.As(err, &faults) {
		answer.Faults = faults.Faults
	}
	if err != nil && !c.JSON {
		return err
	}
	printErr := c.print(env, answer, func(out io.Writer) { printf(out, textNoFaults, c.File) })
	return errors.Join(err, printErr)
}
