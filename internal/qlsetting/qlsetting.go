// Package qlsetting reads the settings file of a process: JSON with comments,
// kebab case, checked whole at start.
//
// Every field must be given: a start with a guessed default would hide a
// mistake until it matters. An error names the file, the line and the remedy.
//
// # Usage
//
//	settings, err := qlsetting.LoadRouter("router.json")
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

// Router holds the settings of quetzallaned.
type Router struct {
	// ID is this VM's name in the platform's VM list.
	ID string `json:"id"`
	// Zone is this VM's zone.
	Zone string `json:"zone"`
	// CallerAddress is where callers and the balancer connect.
	CallerAddress string `json:"caller-address"`
	// PeerAddress is where other routers connect.
	PeerAddress string `json:"peer-address"`
	// OperationsAddress serves metrics and state dumps.
	OperationsAddress string `json:"operations-address"`
	// Platform is the URL of the configuration service and VM list.
	Platform string `json:"platform"`
	// MaxBody and MaxAnswer bound bodies, in bytes.
	MaxBody   int64 `json:"max-body"`
	MaxAnswer int64 `json:"max-answer"`
	// ClaimWindow is how long an idempotency key stays claimed.
	ClaimWindow qljson.Duration `json:"claim-window"`
	// LoadPeriod is the time between load polls of an upstream.
	LoadPeriod qljson.Duration `json:"load-period"`
	// BalancerNotice is how long a stopping router goes on taking requests
	// after it reports not ready, until the balancer has noticed.
	BalancerNotice qljson.Duration `json:"balancer-notice"`
	// StopDeadline bounds a planned stop.
	StopDeadline qljson.Duration `json:"stop-deadline"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level"`
}

// LoadRouter reads and checks a router's settings.
func LoadRouter(path string) (*Router, error) {
	return load(path, (*Router).fault)
}

// ParseRouter checks settings whose text was read from a source.
func ParseRouter(source string, data []byte) (*Router, error) {
	return parse(source, data, (*Router).fault)
}

func load[T any](path string, fault func(*T) (name, reason string)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	return parse(path, data, fault)
}

// parse decodes settings, in which every field must be given; fault names the
// first field that is wrong, if any.
func parse[T any](source string, data []byte, fault func(*T) (name, reason string)) (*T, error) {
	settings := new(T)
	if err := qljson.Decode(source, data, settings); err != nil {
		return nil, errors.Trace(err)
	}
	if err := checkGiven(source, data, reflect.TypeFor[T]()); err != nil {
		return nil, errors.Trace(err)
	}
	if name, reason := fault(settings); name != "" {
		position := qljson.Position(source, data, qljson.FindName(data, name))
		return nil, errors.NewNotValid(nil, fmt.Sprintf("%s: %q: %s", position, name, reason))
	}
	return settings, nil
}

// checkGiven refuses settings that lack a field.
func checkGiven(source string, data []byte, kind reflect.Type) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return errors.Trace(err)
	}
	var given map[string]json.RawMessage
	if err := json.Unmarshal(plain, &given); err != nil {
		return errors.Trace(err)
	}
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		if _, ok := given[name]; !ok {
			position := qljson.Position(source, data, len(data))
			return errors.NewNotValid(nil, fmt.Sprintf("%s: field %q is missing; add it", position, name))
		}
	}
	return nil
}

func (s *Router) fault() (name, reason string) {
	name, reason = textFault([]text{
		{name: "id", value: s.ID},
		{name: "zone", value: s.Zone},
	})
	if name != "" {
		return name, reason
	}
	name, reason = addressFault([]text{
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
	return levelFault(s.LogLevel)
}
