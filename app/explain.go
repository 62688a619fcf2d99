package app

import (
	"io"
	"os"

	"auburngap/explain"
)

// explainCommand prints what happened to a request, from the logs of nodes.
type explainCommand struct {
	ID    string   `arg:"positional,required" help:"ID of the caller's attempt, or of the request"`
	Files []string `arg:"positional,required" placeholder:"FILE" help:"logs of nodes"`
}

func (c *explainCommand) run(stdout io.Writer) error {
	logs := &explain.Logs{}
	for _, path := range c.Files {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	story, err := logs.Story(c.ID)
	if err != nil {
		return err
	}
	_, err = io.WriteString(stdout, story)
	return err
}

func readLog(logs *explain.Logs, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return explain.ErrRead.Wrap(err, "open")
	}
	err = logs.Read(file)
	if closed := file.Close(); err == nil && closed != nil {
		err = explain.ErrRead.Wrap(closed, "close")
	}
	return err
}
