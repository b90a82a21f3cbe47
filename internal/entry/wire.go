package entry

import (
	"net/http"

	"briarcroft/internal/claim"
	"briarcroft/internal/inner"
)

func fieldsToWire(fields []claim.HeaderField) []*inner.Header {
	encoded := make([]*inner.Header, 0, len(fields))
	for _, f := range fields {
		encoded = append(encoded, &inner.Header{Name: f.Name, Value: f.Value})
	}
	return encoded
}

func fieldsFromWire(headers []*inner.Header) []claim.HeaderField {
	decoded := make([]claim.HeaderField, 0, len(headers))
	for _, f := range headers {
		decoded = append(decoded, claim.HeaderField{Name: f.Name, Value: f.Value})
	}
	return decoded
}

func fieldsFromHeader(header http.Header) []claim.HeaderField {
	var fields []claim.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, claim.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func headerFromFields(fields []claim.HeaderField) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
	return header
}
