package qlforward

import (
	"net/http"
	"strings"
)

// _hopByHop holds the headers that apply to a single connection and are not
// forwarded, and Content-Length, which is set anew where the length is known.
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

// hopByHop reports whether a header is not to be forwarded.
func hopByHop(name string) bool {
	return _hopByHop[name]
}

// connectionHeaders returns the names of the headers that the Connection header
// lists as hop-by-hop.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// copyResponseHeader copies the headers of an upstream's response to the
// caller, except those that apply to the upstream's connection.
func (f *Forwarder) copyResponseHeader(x *exchange, from http.Header) {
	to := x.w.Header()
	for name, values := range from {
		if !hopByHop(name) {
			to[name] = values
		}
	}
	for _, name := range connectionHeaders(from) {
		to.Del(name)
	}
	// What an upstream says about itself would be taken for this router's own words.
	for _, name := range f.config.Dialect.UpstreamOnly {
		to.Del(name)
	}
	// Without an explicit nil, net/http guesses a Content-Type from the body.
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
	if f.closesConnections() {
		to.Set("Connection", "close")
	}
}
