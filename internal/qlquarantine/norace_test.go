//go:build !race

package qlquarantine

const _raceEnabled = false
