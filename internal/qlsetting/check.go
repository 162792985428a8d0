package qlsetting

import (
	"net"

	"go.uber.org/zap/zapcore"
)

// textSetting is a setting whose value is text.
type textSetting struct {
	name  string
	value string
}

// checkTexts returns the name of the first empty setting and the reason, or ""
// if none is empty.
func checkTexts(texts []textSetting) (name, reason string) {
	for _, t := range texts {
		if t.value == "" {
			return t.name, "is empty"
		}
	}
	return "", ""
}

// checkAddresses returns the name of the first setting that is not of the form
// host:port and the remedy, or "" if all are.
func checkAddresses(texts []textSetting) (name, reason string) {
	for _, t := range texts {
		if _, _, err := net.SplitHostPort(t.value); err != nil {
			return t.name, "write it as host:port"
		}
	}
	return "", ""
}

// checkLogLevel returns the name of the log level setting and the remedy if the
// level is not valid, or "" if it is.
func checkLogLevel(level string) (name, reason string) {
	if _, err := zapcore.ParseLevel(level); err != nil {
		return "log-level", "write debug, info, warn or error"
	}
	return "", ""
}
