package qlsetting

import (
	"net"

	"go.uber.org/zap/zapcore"
)

// text is a setting that holds text.
type text struct {
	name  string
	value string
}

// textFault names the first text that is empty.
func textFault(texts []text) (name, reason string) {
	for _, t := range texts {
		if t.value == "" {
			return t.name, "is empty"
		}
	}
	return "", ""
}

// addressFault names the first text that is no address.
func addressFault(texts []text) (name, reason string) {
	for _, t := range texts {
		if _, _, err := net.SplitHostPort(t.value); err != nil {
			return t.name, "write it as host:port"
		}
	}
	return "", ""
}

func levelFault(level string) (name, reason string) {
	if _, err := zapcore.ParseLevel(level); err != nil {
		return "log-level", "write debug, info, warn or error"
	}
	return "", ""
}
