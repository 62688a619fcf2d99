package request

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestReadBuffered(t *testing.T) {
	broken := errors.New("broken")
	cases := []struct {
		name string
		body io.Reader
		size int64
		want error
	}{
		{"as stated", strings.NewReader("three"), 5, nil},
		{"one byte at a time", iotest.OneByteReader(strings.NewReader("three")), 5, nil},
		{"empty", strings.NewReader(""), 0, nil},
		{"shorter", strings.NewReader("thr"), 5, ErrBodySize},
		{"longer", strings.NewReader("three mugs"), 5, ErrBodySize},
		{"longer, stated as empty", strings.NewReader("t"), 0, ErrBodySize},
		{"error before the end", io.MultiReader(strings.NewReader("thr"), iotest.ErrReader(broken)), 5, broken},
		{"error at the end", io.MultiReader(strings.NewReader("three"), iotest.ErrReader(broken)), 5, broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			data, err := ReadBuffered(c.body, c.size)
			assert.Equal(t, err, c.want)
			if c.want == nil {
				assert.Equal(t, len(data), int(c.size))
			}
		})
	}
}
