package qlrouter

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"go.uber.org/zap"
)

// ensureLoaded orders an engine to load the model that the configuration in
// force names for it, unless the engine reports that it has done so or that it
// has seen a higher fencing number, which comes from a newer configuration. The
// configuration's revision serves as fencing token, so an engine that checks it
// refuses orders of a router that was paused and has an older configuration.
// Such a router can make an engine that ignores fencing load an older model for
// the length of one poll: the upstream's owner finds it at the next poll and
// orders again.
func (r *Router) ensureLoaded(ctx context.Context, upstream qlconfig.UpstreamText) {
	current := r.snapshot.Load()
	if upstream.Load == "" || current == nil || !r.ready.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _loadTimeout)
	defer cancel()
	var state struct {
		Loaded string `json:"loaded"`
		Fence  uint64 `json:"fence"`
	}
	if err := getJSON(ctx, "http://"+upstream.Address+"/orders", &state); err != nil {
		return
	}
	if state.Loaded == upstream.Load || state.Fence > current.Revision() {
		return
	}
	err := postLoadOrder(ctx, upstream, current.Revision())
	r.log.Info("order-given",
		zap.String("upstream", upstream.ID),
		zap.String("load", upstream.Load),
		zap.Uint64("fence", current.Revision()),
		zap.Bool("taken", err == nil))
}

func postLoadOrder(ctx context.Context, upstream qlconfig.UpstreamText, fence uint64) error {
	body, err := json.Marshal(struct {
		Load  string `json:"load"`
		Fence uint64 `json:"fence"`
	}{
		Load:  upstream.Load,
		Fence: fence,
	})
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+upstream.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := _upstreamClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("order refused: status %d", response.StatusCode)
	}
	return nil
}
