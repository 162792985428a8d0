package qlrouter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlhead"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
)

const (
	_loadTimeout = 2 * time.Second
	_maxLoadBody = 1 << 16
)

// _upstreamClient calls upstreams for the router itself; callers' requests are sent by qlupstream.
var _upstreamClient = &http.Client{
	Transport: qlhead.DefaultTransport(),
}

// updateLoadPolls starts a poll of the load for each upstream that this router
// has come to own, and ends the polls of those that it no longer owns.
func (r *Router) updateLoadPolls() {
	owned := make(map[string]bool)
	for _, id := range r.core.OwnedUpstreams() {
		owned[id] = true
		if r.loadPolls[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			r.loadPolls[id] = cancel
			go r.pollLoad(ctx, id)
		}
	}
	for id, cancel := range r.loadPolls {
		if !owned[id] {
			cancel()
			delete(r.loadPolls, id)
		}
	}
}

func (r *Router) pollLoad(ctx context.Context, id string) {
	for ctx.Err() == nil {
		if upstream, ok := findUpstream(r.snapshot.Load(), id); ok {
			running, err := readLoad(ctx, upstream.Address)
			r.post(func(now time.Duration) {
				if err != nil {
					r.core.ApplyLoadFailure(now, id)
					return
				}
				r.core.ApplyLoad(now, id, running)
			})
			r.ensureLoaded(ctx, upstream)
		}
		sleep(ctx, jitter(r.settings.LoadPeriod.Std()))
	}
}

func findUpstream(c *qlconfig.Configuration, id string) (qlconfig.UpstreamText, bool) {
	if c == nil {
		return qlconfig.UpstreamText{}, false
	}
	for _, name := range c.PoolNames() {
		for _, upstream := range c.Pool(name).Upstreams() {
			if upstream.ID == id {
				return upstream, true
			}
		}
	}
	return qlconfig.UpstreamText{}, false
}

func readLoad(ctx context.Context, address string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, _loadTimeout)
	defer cancel()
	var load struct {
		Running int `json:"running"`
	}
	err := getJSON(ctx, "http://"+address+"/load", &load)
	return load.Running, errors.Trace(err)
}

func getJSON(ctx context.Context, url string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := _upstreamClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", url, response.StatusCode)
	}
	return errors.Trace(json.NewDecoder(io.LimitReader(response.Body, _maxLoadBody)).Decode(target))
}

func uintText(n uint64) string {
	return strconv.FormatUint(n, 10)
}
