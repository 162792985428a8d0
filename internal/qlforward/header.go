package qlforward

import (
	"net/http"
	"strings"
)

// _hopByHop are the headers that concern one connection only.
var _hopByHop = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Expect":            true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

func hopByHop(name string) bool {
	return _hopByHop[name]
}

// connectionNames returns the headers that the Connection header names.
func connectionNames(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// copyHeader passes an answer's headers on.
func (f *Forwarder) copyHeader(x *exchange, from http.Header) {
	to := x.w.Header()
	for name, values := range from {
		if !hopByHop(name) {
			to[name] = values
		}
	}
	for _, name := range connectionNames(from) {
		to.Del(name)
	}
	// net/http would add its guess where the upstream says nothing.
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
	if f.closesConnections() {
		to.Set("Connection", "close")
	}
}
