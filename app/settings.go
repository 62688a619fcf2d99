package app

import (
	"errors"
	"io"

	"auburngap/settings"
	"auburngap/strictjson"
)

// settingsCommand is "auburngap settings ...".
type settingsCommand struct {
	Check    *settingsCheckCommand    `arg:"subcommand:check" help:"print every fault of a settings file"`
	Document *settingsDocumentCommand `arg:"subcommand:document" help:"print the page of all settings"`
}

type settingsCheckCommand struct {
	File string `arg:"positional,required" placeholder:"FILE"`
}

type settingsDocumentCommand struct{}

func (c *settingsCommand) run(stdout, stderr io.Writer) int {
	if c.Document != nil {
		return exitCode(stderr, settings.Document(stdout))
	}
	if c.Check == nil {
		printLine(stderr, textTryHelp)
		return ExitUsage
	}
	if _, err := settings.Read(c.Check.File); err != nil {
		return failSettings(stderr, err)
	}
	printLine(stdout, c.Check.File+": "+textNoFault)
	return ExitOK
}

func failSettings(stderr io.Writer, err error) int {
	var faults *strictjson.FaultsError
	if errors.As(err, &faults) {
		printLine(stderr, faults.Error())
		return ExitUsage
	}
	return fail(stderr, err)
}
