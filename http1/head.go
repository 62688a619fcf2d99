package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

const (
	versionHTTP10 = "HTTP/1.0"
	versionHTTP11 = "HTTP/1.1"
	// maxInterim bounds the interim responses before a final one.
	maxInterim = 100
	// statusDigits is the length of a status in bytes.
	statusDigits = 3
	// maxStatus is the highest status that a response may have.
	maxStatus = 599
)

// ReadHead reads the head of the next final response, and the interim ones before it. It
// returns ErrBroken if one of them is not as HTTP requires.
func ReadHead(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterim {
		if err := readHead(reader, header); err != nil {
			return err
		}
		switch status := header.StatusCode(); {
		case status == http.StatusSwitchingProtocols:
			return ErrBroken.New("switch of protocols that no request asked for")
		case status >= http.StatusOK:
			return nil
		}
	}
	return ErrBroken.New("more than %d interim responses", maxInterim)
}

// readHead reads one head, interim or final.
func readHead(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	head := headCheck{}
	if err := awaitSection(reader, head.line); err != nil {
		return err
	}
	if err := header.Read(reader); err != nil {
		return ErrBroken.New("head: %.200v", err)
	}
	return nil
}

// headCheck checks the lines of one head.
type headCheck struct {
	hasStatus, isHTTP10 bool
	// hasLength and hasEncoding are set if the head frames its body so.
	hasLength, hasEncoding bool
}

// line checks the next line.
func (h *headCheck) line(line []byte) error {
	if !h.hasStatus {
		h.hasStatus = true
		h.isHTTP10 = bytes.HasPrefix(line, []byte(versionHTTP10))
		return checkStatusLine(line)
	}
	if err := checkField(line); err != nil {
		return err
	}
	if len(line) == 0 {
		return h.checkFraming()
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	h.hasLength = h.hasLength || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
	h.hasEncoding = h.hasEncoding || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	return nil
}

// checkFraming refuses what readers understand in different ways: a body that is framed
// twice, or by a field that its version does not have. The library checks the values.
func (h *headCheck) checkFraming() error {
	switch {
	case h.hasEncoding && h.hasLength:
		return ErrBroken.New("both a length and a transfer encoding")
	case h.hasEncoding && h.isHTTP10:
		return ErrBroken.New("transfer encoding with HTTP/1.0")
	}
	return nil
}

// checkStatusLine checks a status line: a version whose framing the library knows, a
// status, and a reason that may be empty, with one blank behind each of the first two.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, hasReason := bytes.Cut(rest, []byte(" "))
	code, err := strconv.Atoi(string(status))
	switch {
	case string(version) != versionHTTP11 && string(version) != versionHTTP10:
		return ErrBroken.New("version in status line %.64q", line)
	case err != nil || len(status) != statusDigits || code < http.StatusContinue || code > maxStatus:
		return ErrBroken.New("status in status line %.64q", line)
	case !hasReason || !httpguts.ValidHeaderFieldValue(string(reason)):
		return ErrBroken.New("reason in status line %.64q", line)
	}
	return nil
}

// checkField checks a line of a head or of trailers: a name, a colon and a value, or the
// empty line that ends them. It does not allow a value to go on in the next line.
func checkField(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon {
		return ErrBroken.New("no colon in field %.64q", line)
	}
	return CheckField(name, value)
}

// CheckField returns ErrBroken if HTTP does not allow a name or a value in a head or in
// trailers.
func CheckField(name, value []byte) error {
	switch {
	case !httpguts.ValidHeaderFieldName(string(name)):
		return ErrBroken.New("name of field %.64q", name)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return ErrBroken.New("value of field %.64q", name)
	}
	return nil
}

// CheckStatus returns ErrBroken if a status is not one of a final response.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return ErrBroken.New("status %d", status)
	}
	return nil
}
