package main

import (
	_ "embed"
	"encoding/json"
)

// names.json holds the names of the platform's pages.
//
//go:embed names.json
var namesFile []byte

var names = func() map[string]string {
	all := make(map[string]string)
	if err := json.Unmarshal(namesFile, &all); err != nil {
		panic(err)
	}
	return all
}()

var (
	nameSignature    = names["signature"]
	nameLoad         = names["load"]
	nameReplica      = names["replica"]
	nameAttempt      = names["attempt-id"]
	nameDeadline     = names["deadline"]
	namePrefix       = names["prefix-segments"]
	nameTokens       = names["token-usage"]
	nameExpected     = names["expected-replica"]
	nameTenant       = names["tenant"]
	nameNotRun       = names["not-executed"]
	pathWatch        = names["watch"]
	pathRange        = names["range"]
	keyConfiguration = names["configuration"]
	nameSettings     = names["settings"]
	fieldKeys        = names["keys"]
	fieldKind        = names["kind"]
)
