package config

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/corianderbank/corianderbank/api"
)

// maxDocumentBytes bounds an unpacked document, so that a damaged object cannot exhaust
// the memory.
const maxDocumentBytes = 64 << 20

// Pack compresses a document for the object store and for peers. Names recur in
// documents, and every instance fetches every version: at the target size, documents
// are most of the control traffic that an instance receives.
func Pack(document []byte) []byte {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(document) // a bytes.Buffer accepts every write
	_ = writer.Close()
	return packed.Bytes()
}

// Unpack reverses Pack. Damaged or oversized data is an error of KindConfigInvalid.
func Unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, api.NewError(api.KindConfigInvalid, "packed configuration: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, api.NewError(api.KindConfigInvalid, "packed configuration: %w", err)
	}
	if len(document) > maxDocumentBytes {
		return nil, api.NewError(api.KindConfigInvalid, "configuration exceeds %d bytes", maxDocumentBytes)
	}
	return document, nil
}
