package bundle

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

const (
	// compressAbove is the size in bytes above which records are compressed.
	compressAbove = 16 << 10
	// maxRecordBytes is the maximum size of a decompressed record.
	maxRecordBytes = 64 << 20
)

var gzipMagic = []byte{0x1f, 0x8b}

// Record is one version in the form in which it is stored and forwarded. It is immutable.
type Record struct {
	Header   Header    `json:"header"`
	SignOffs []SignOff `json:"signOffs"`
	Delta    Delta     `json:"delta"`
}

// Encode returns the record as JSON, compressed with gzip if it is large.
func (r Record) Encode() ([]byte, error) {
	return encode(r)
}

// DecodeRecord is the inverse of Record.Encode. It returns ErrCorrupt if data cannot be
// decoded.
func DecodeRecord(data []byte) (Record, error) {
	return decodeStored[Record](data)
}

func encode(value any) ([]byte, error) {
	plain, err := json.Marshal(value)
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "cannot be encoded")
	}
	if len(plain) <= compressAbove {
		return plain, nil
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(plain); err != nil {
		return nil, ErrCorrupt.Wrap(err, "cannot be compressed")
	}
	if err := writer.Close(); err != nil {
		return nil, ErrCorrupt.Wrap(err, "cannot be compressed")
	}
	return compressed.Bytes(), nil
}

func decodeStored[T any](data []byte) (T, error) {
	var zero T
	if !bytes.HasPrefix(data, gzipMagic) {
		return decodeJSON[T](data)
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return zero, ErrCorrupt.Wrap(err, "cannot be decompressed")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxRecordBytes+1))
	if err != nil {
		return zero, ErrCorrupt.Wrap(err, "cannot be decompressed")
	}
	if len(plain) > maxRecordBytes {
		return zero, ErrCorrupt.New("the decompressed data exceeds %d bytes", maxRecordBytes)
	}
	return decodeJSON[T](plain)
}
