// Package qljson decodes JSON with comments strictly.
//
// Settings and configuration are written by people, so errors name the source
// and the position, and say how to correct the usual mistakes. Unknown fields
// are errors: otherwise a router would silently use a default for a field whose
// name is mistyped.
//
// # Usage
//
//	var s settings
//	if err := qljson.Decode("router.json", data, &s); err != nil {
//		return err // router.json:7:3: unknown field "adress"; remove it or correct its name
//	}
package qljson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Duration is a time.Duration written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("duration %q; write it with its unit, such as \"2s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// Decode decodes the JSON value with comments in data into the value that target
// points to. Data after the first value is an error. Errors start with source,
// in most cases as source:line:column.
func Decode(source string, data []byte, target any) error {
	// Standardize may overwrite its argument, so it gets a copy of data.
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Errorf("%s: %v", source, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Errorf("%s: %s", Position(source, plain, errorOffset(plain, err)), errorText(err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.Errorf("%s: a second value follows the first; keep one", Position(source, plain, int(decoder.InputOffset())))
	}
	return nil
}

// Position returns the position of a byte offset in data as
// source:line:column. Lines and columns are counted from 1, columns in bytes.
func Position(source string, data []byte, offset int) string {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%s:%d:%d", source, line, column)
}

// FindName returns the byte offset of the first occurrence of the quoted name in
// data, or 0 if there is none.
func FindName(data []byte, name string) int {
	return max(bytes.Index(data, []byte(`"`+name+`"`)), 0)
}

// errorOffset returns the byte offset in data that a decoding error refers to, or
// 0 if the offset is unknown.
func errorOffset(data []byte, err error) int {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return int(syntaxErr.Offset)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return int(typeErr.Offset)
	}
	if name, ok := unknownFieldName(err); ok {
		return FindName(data, name)
	}
	// Errors of text unmarshalers, such as that of Duration, quote the invalid
	// text but have no offset.
	if quoted := strings.SplitN(err.Error(), `"`, 3); len(quoted) == 3 {
		return FindName(data, quoted[1])
	}
	return 0
}

func unknownFieldName(err error) (string, bool) {
	_, after, found := strings.Cut(err.Error(), "unknown field \"")
	return strings.TrimSuffix(after, `"`), found
}

func errorText(err error) string {
	if name, ok := unknownFieldName(err); ok {
		return fmt.Sprintf("unknown field %q; remove it or correct its name", name)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}
