// Package qlsetting reads the settings file of a router: JSON with comments and
// names in kebab case. All settings are validated before any of them is used.
//
// Every field must be given, except some limits, since a default could hide a missing setting until
// it causes a failure. An error names the file, the line and the remedy.
//
// # Usage
//
//	settings, err := qlsetting.LoadRouter("router.json")
//	edge, err := qlsetting.LoadEdge("edge.json")
package qlsetting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/pkg/qljson"
	"github.com/tailscale/hujson"
)

// Router holds the settings of quetzallaned without a subcommand. Edge holds
// those of its subcommand edge.
type Router struct {
	// ID is this VM's name in the platform's VM list.
	ID string `json:"id"`
	// Zone is this VM's availability zone.
	Zone string `json:"zone"`
	// CallerAddress is where callers and the load balancer connect.
	CallerAddress string `json:"caller-address"`
	// PeerAddress is where other routers connect.
	PeerAddress string `json:"peer-address"`
	// OperationsAddress is where metrics and state dumps are served.
	OperationsAddress string `json:"operations-address"`
	// Platform is the URL of the platform's configuration service and VM list.
	Platform string `json:"platform"`
	// MaxBody is the limit on a caller's body, and MaxAnswer that on an answer
	// that is not streamed, in bytes.
	MaxBody   int64 `json:"max-body"`
	MaxAnswer int64 `json:"max-answer"`
	// ClaimWindow is how long an idempotency key stays claimed.
	ClaimWindow qljson.Duration `json:"claim-window"`
	// LoadPeriod is the time between polls of an upstream's load.
	LoadPeriod qljson.Duration `json:"load-period"`
	// BalancerNotice is how long a stopping router still accepts requests
	// after it reports not ready, so that the load balancer can notice.
	BalancerNotice qljson.Duration `json:"balancer-notice"`
	// StopDeadline is the time limit of a planned stop. Requests that are still
	// active then are cut.
	StopDeadline qljson.Duration `json:"stop-deadline"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level"`
}

// LoadRouter reads a router's settings file and validates it.
func LoadRouter(path string) (*Router, error) {
	return load(path, (*Router).check)
}

// ParseRouter parses and validates settings. Errors name source, such as the path
// of the file.
func ParseRouter(source string, data []byte) (*Router, error) {
	return parse(source, data, (*Router).check)
}

func load[T any](path string, check func(*T) (name, reason string)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	return parse(path, data, check)
}

// parse decodes and validates settings, in which every field must be given. check
// returns the name of the first invalid field and the remedy, or "".
func parse[T any](source string, data []byte, check func(*T) (name, reason string)) (*T, error) {
	settings := new(T)
	if err := qljson.Decode(source, data, settings); err != nil {
		return nil, errors.Trace(err)
	}
	if err := checkAllGiven(source, data, reflect.TypeFor[T]()); err != nil {
		return nil, errors.Trace(err)
	}
	if name, reason := check(settings); name != "" {
		position := qljson.Position(source, data, qljson.FindName(data, name))
		return nil, errors.NewNotValid(nil, fmt.Sprintf("%s: %q: %s", position, name, reason))
	}
	return settings, nil
}

// _optional is the option in the tags of fields that may be missing.
const _optional = "omitempty"

// checkAllGiven returns an error if data lacks a field of the settings type.
func checkAllGiven(source string, data []byte, settingsType reflect.Type) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Trace(err)
	}
	var given map[string]json.RawMessage
	if err := json.Unmarshal(plain, &given); err != nil {
		return errors.Trace(err)
	}
	for i := range settingsType.NumField() {
		name, option, _ := strings.Cut(settingsType.Field(i).Tag.Get("json"), ",")
		if option == _optional {
			continue
		}
		if _, ok := given[name]; !ok {
			position := qljson.Position(source, data, len(data))
			return errors.NewNotValid(nil, fmt.Sprintf("%s: field %q is missing; add it", position, name))
		}
	}
	return nil
}

// check returns the name of the first invalid setting and the remedy, or "" if
// all are valid.
func (s *Router) check() (name, reason string) {
	name, reason = checkTexts([]textSetting{
		{name: "id", value: s.ID},
		{name: "zone", value: s.Zone},
	})
	if name != "" {
		return name, reason
	}
	name, reason = checkAddresses([]textSetting{
		{name: "caller-address", value: s.CallerAddress},
		{name: "peer-address", value: s.PeerAddress},
		{name: "operations-address", value: s.OperationsAddress},
	})
	if name != "" {
		return name, reason
	}
	for _, duration := range []struct {
		name  string
		value qljson.Duration
	}{
		{name: "claim-window", value: s.ClaimWindow},
		{name: "load-period", value: s.LoadPeriod},
		{name: "stop-deadline", value: s.StopDeadline},
	} {
		if duration.value.Std() < time.Millisecond {
			return duration.name, "write at least 1ms"
		}
	}
	if s.BalancerNotice < 0 {
		return "balancer-notice", "write 0s or more"
	}
	if s.MaxBody < 1 {
		return "max-body", "write 1 or more bytes"
	}
	if s.MaxAnswer < 1 {
		return "max-answer", "write 1 or more bytes"
	}
	if platform, err := url.Parse(s.Platform); err != nil || platform.Host == "" {
		return "platform", "write it as http://host:port"
	}
	return checkLogLevel(s.LogLevel)
}
