package http1

import (
	"bufio"
	"bytes"
	"errors"
)

var lineEnd = []byte("\r\n")

// awaitSection reads ahead until the reader has buffered the lines up to an empty one, and
// checks each of them as soon as it is complete. The lines stay unread. At the first line
// that is broken it returns, without waiting for more.
func awaitSection(reader *bufio.Reader, check func(line []byte) error) error {
	checked := 0
	for needed := 1; ; needed = reader.Buffered() + 1 {
		_, err := reader.Peek(needed)
		buffered, _ := reader.Peek(reader.Buffered())
		for line := range bytes.Lines(buffered[checked:]) {
			if line[len(line)-1] != '\n' {
				break // the rest has not arrived
			}
			text, ok := bytes.CutSuffix(line, lineEnd)
			if !ok {
				return ErrBroken.New("line does not end with CR and LF: %.64q", line)
			}
			if err := check(text); err != nil {
				return err
			}
			if len(text) == 0 {
				return nil
			}
			checked += len(line)
		}
		if err != nil {
			return incomplete(err, reader)
		}
	}
}

// incomplete returns the error of a section whose end cannot be read. The end of a
// connection on which no byte has arrived is not a broken response.
func incomplete(err error, reader *bufio.Reader) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrBroken.New("head or trailers longer than %d bytes", reader.Size())
	case isCut(err) && reader.Buffered() > 0:
		return ErrBroken.New("head or trailers cut: %v", err)
	}
	return err
}
