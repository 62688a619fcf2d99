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
	// maxRecordBytes bounds a record once it is decompressed.
	maxRecordBytes = 64 << 20
)

var gzipMagic = []byte{0x1f, 0x8b}

// Record is one version as it is kept and passed on: immutable.
type Record struct {
	Header   Header    `json:"header"`
	SignOffs []SignOff `json:"signOffs"`
	Delta    Delta     `json:"delta"`
}

// Encode returns the record as bytes, compressed where it is large.
func (r Record) Encode() ([]byte, error) {
	return encode(r)
}

// DecodeRecord is the inverse of Record.Encode; it returns ErrCorrupt.
func DecodeRecord(data []byte) (Record, error) {
	return decodeAny[Record](data)
}

func encode(value any) ([]byte, error) {
	plain, err := json.Marshal(value)
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "cannot be encoded")
	}
	if len(plain) <= compressAbove {
		return plain, nil
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(plain); err != nil {
		return nil, ErrCorrupt.Wrap(err, "cannot be compressed")
	}
	if err := writer.Close(); err != nil {
		return nil, ErrCorrupt.Wrap(err, "cannot be compressed")
	}
	return packed.Bytes(), nil
}

func decodeAny[T any](data []byte) (T, error) {
	var nothing T
	if !bytes.HasPrefix(data, gzipMagic) {
		return decode[T](data)
	}
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nothing, ErrCorrupt.Wrap(err, "cannot be decompressed")
	}
	plain, err := io.ReadAll(io.LimitReader(reader, maxRecordBytes+1))
	if err != nil {
		return nothing, ErrCorrupt.Wrap(err, "cannot be decompressed")
	}
	if len(plain) > maxRecordBytes {
		return nothing, ErrCorrupt.New("more than %d bytes", maxRecordBytes)
	}
	return decode[T](plain)
}
