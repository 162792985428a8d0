package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// _names holds the platform's names. They stand in a file of their own, since Go code outside of
// the folder platform doesn't contain them.
//
//go:embed names.json
var _names []byte

var _replacer = newReplacer()

func newReplacer() *strings.Replacer {
	var names map[string]string
	if err := json.Unmarshal(_names, &names); err != nil {
		panic(err)
	}
	var pairs []string
	for key, name := range names {
		pairs = append(pairs, "{"+key+"}", name)
	}
	return strings.NewReplacer(pairs...)
}

// wire returns the text with the platform's names in place of their keys in braces.
func wire(text string) string {
	return _replacer.Replace(text)
}
