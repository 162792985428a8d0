// Package qljson reads JSON with comments strictly.
//
// Settings and configuration are written by people, so each error names the
// source, the line and the remedy. Unknown fields are errors: a mistyped name
// must not start a router with a default in its place.
//
// # Usage
//
//	var s settings
//	if err := qljson.Decode("router.json", data, &s); err != nil {
//		return err // router.json:7:3: unknown field "adress"
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

// UnmarshalText reads a duration with its unit.
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

// Decode reads one JSON value with comments from data into the value that
// into points to. Errors start with source:line:column.
func Decode(source string, data []byte, into any) error {
	// Standardize may reuse its argument; the caller's data stays as it is.
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Errorf("%s: %v", source, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Errorf("%s: %s", Position(source, plain, offsetOf(plain, err)), reason(err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.Errorf("%s: a second value follows the first; keep one", Position(source, plain, int(decoder.InputOffset())))
	}
	return nil
}

// Position returns source:line:column of a byte offset in data.
func Position(source string, data []byte, offset int) string {
	offset = min(max(offset, 0), len(data))
	before := data[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%s:%d:%d", source, line, column)
}

// FindName returns the byte offset of the first member called name, or 0.
func FindName(data []byte, name string) int {
	return max(bytes.Index(data, []byte(`"`+name+`"`)), 0)
}

func offsetOf(data []byte, err error) int {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return int(syntax.Offset)
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return int(kind.Offset)
	}
	if name, ok := unknownField(err); ok {
		return FindName(data, name)
	}
	// Text unmarshalers report the offending text but no offset.
	if quoted := strings.SplitN(err.Error(), `"`, 3); len(quoted) == 3 {
		return FindName(data, quoted[1])
	}
	return 0
}

func unknownField(err error) (string, bool) {
	_, after, found := strings.Cut(err.Error(), "unknown field \"")
	return strings.TrimSuffix(after, `"`), found
}

func reason(err error) string {
	if name, ok := unknownField(err); ok {
		return fmt.Sprintf("unknown field %q; remove it or correct its name", name)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}
