// Package qldelta encodes a text as its difference from a base text.
//
// A configuration change mostly affects one customer in a part of the
// configuration that holds many. The new part then has a long prefix and a long
// suffix in common with the old one, so a router that has the old part needs only
// the bytes in between.
//
// # Usage
//
//	delta := qldelta.New(base, text)
//	text, err := delta.Apply(base)
package qldelta

import "github.com/juju/errors"

// Delta is a text without the prefix and the suffix that it has in common with
// its base.
type Delta struct {
	prefix int
	suffix int
	middle []byte
}

// Config holds a delta's fields for Make.
type Config struct {
	// Prefix and Suffix are the numbers of bytes in common at the beginning and
	// at the end. Middle holds the bytes of the text in between.
	Prefix int
	Suffix int
	Middle []byte
}

// Make returns a delta with the given fields, such as one that was decoded.
func Make(config Config) Delta {
	return Delta{
		prefix: config.Prefix,
		suffix: config.Suffix,
		middle: config.Middle,
	}
}

// New returns the delta that turns base into text. The delta refers to the
// memory of text.
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

// Prefix returns the number of bytes in common at the beginning.
func (d Delta) Prefix() int {
	return d.prefix
}

// Suffix returns the number of bytes in common at the end.
func (d Delta) Suffix() int {
	return d.suffix
}

// Middle returns the bytes of the text between the common prefix and suffix.
func (d Delta) Middle() []byte {
	return d.middle
}

// Apply returns the text. It returns an error if the base is too short to be
// the one that the delta was made from, or if a length in the delta is negative.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if d.prefix < 0 || d.suffix < 0 || d.prefix > len(base)-d.suffix {
		return nil, errors.NotValidf("delta with prefix %d and suffix %d for a base of %d bytes", d.prefix, d.suffix, len(base))
	}
	text := make([]byte, 0, d.prefix+len(d.middle)+d.suffix)
	text = append(text, base[:d.prefix]...)
	text = append(text, d.middle...)
	return append(text, base[len(base)-d.suffix:]...), nil
}
