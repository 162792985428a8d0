// Package qldelta describes a text by how it differs from another.
//
// A change of configuration mostly touches one customer in a part of many. The
// new part then has a long beginning and a long end in common with the old
// one, so a router that holds the old part needs only what lies between.
//
// # Usage
//
//	delta := qldelta.New(base, text)
//	text, err := delta.Apply(base)
package qldelta

import "github.com/juju/errors"

// Delta is a text but for what it has in common with its base.
type Delta struct {
	prefix int
	suffix int
	middle []byte
}

// Config holds a delta's fields for Make.
type Config struct {
	// Prefix and Suffix are the bytes in common at both ends.
	Prefix int
	Suffix int
	Middle []byte
}

// Make returns the delta, as after decoding.
func Make(config Config) Delta {
	return Delta{
		prefix: config.Prefix,
		suffix: config.Suffix,
		middle: config.Middle,
	}
}

// New returns how a text differs from its base. It refers to the text.
func New(base, text []byte) Delta {
	shorter := min(len(base), len(text))
	prefix := 0
	for prefix < shorter && base[prefix] == text[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && base[len(base)-1-suffix] == text[len(text)-1-suffix] {
		suffix++
	}
	return Delta{
		prefix: prefix,
		suffix: suffix,
		middle: text[prefix : len(text)-suffix],
	}
}

// Prefix returns how many bytes are in common at the beginning.
func (d Delta) Prefix() int {
	return d.prefix
}

// Suffix returns how many bytes are in common at the end.
func (d Delta) Suffix() int {
	return d.suffix
}

// Middle returns what lies between.
func (d Delta) Middle() []byte {
	return d.middle
}

// Apply returns the text. It is an error when the base is too short to be the
// one that the delta was made from.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if d.prefix < 0 || d.suffix < 0 || d.prefix > len(base)-d.suffix {
		return nil, errors.NotValidf("delta of %d and %d bytes to a text of %d,", d.prefix, d.suffix, len(base))
	}
	text := make([]byte, 0, d.prefix+len(d.middle)+d.suffix)
	text = append(text, base[:d.prefix]...)
	text = append(text, d.middle...)
	return append(text, base[len(base)-d.suffix:]...), nil
}
