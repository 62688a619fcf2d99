package operator

import (
	"context"
	"fmt"
	"os"
)

// BundleInit is "auburngap bundle init": it writes an initial bundle.
type BundleInit struct {
	Name      string `arg:"--name,required" placeholder:"NAME" help:"the first operator's name"`
	PublicKey string `arg:"--public-key,required" placeholder:"KEY" help:"the first operator's public key, from key-pair"`
	File      string `arg:"positional,required" placeholder:"FILE"`
}

// Run implements command. It never overwrites a file.
func (c *BundleInit) Run(_ context.Context, env Environment) error {
	if err := writeNew(c.File, fmt.Appendf(nil, textInit, c.File, c.Name, c.PublicKey), 0o644); err != nil {
		return err
	}
	_, err := fmt.Fprintln(env.Stdout, c.File)
	return err
}

func writeNew(path string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return ErrUsage.Wrap(err, "cannot write %s", path)
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close() // the write error is more informative
		return ErrFailed.Wrap(err, "cannot write %s", path)
	}
	return file.Close()
}
