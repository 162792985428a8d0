// Package qlplatform reads the platform's configuration service and VM list.
//
// Both are values under a key, which can be read at once or watched with a long
// poll. The package never writes. The platform limits the calls of all readers
// together, so callers are expected to pause between calls; package qlrouter
// decides for how long.
//
// # Usage
//
//	client := qlplatform.New(qlplatform.Config{URL: "http://10.0.0.1:9000"})
//	index, err := client.Index(ctx, after, 20*time.Second)
//	part, err := client.Part(ctx, index.Parts[0])
//	list, text, err := client.VMs(ctx, 0, 0)
package qlplatform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qlhead"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

const (
	_callTimeout = 5 * time.Second
	_indexKey    = "index"
	_partPrefix  = "part/"
	_vmListKey   = "vms"
)

// ErrUnchanged is returned by a read that waited for a change when the wait ends
// without one.
const ErrUnchanged = errors.ConstError("value unchanged")

// VMs is the VM list as the platform serves it.
type VMs struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// VM is one entry of the VM list.
type VM struct {
	ID string `json:"id"`
	// Kind is KindRouter or KindUpstream.
	Kind string `json:"kind"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Address is the address for peers; only routers have one.
	Address string `json:"address,omitempty"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}

// The kinds and states of VMs.
const (
	KindRouter   = "router"
	KindUpstream = "upstream"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// CoreList returns the list as package qlcore uses it: all routers, and the
// upstreams that are leaving.
func (v *VMs) CoreList() qlcore.VMList {
	list := qlcore.VMList{
		Revision: v.Revision,
	}
	for _, vm := range v.VMs {
		leaving := vm.State == StateLeaving
		if vm.Kind == KindRouter {
			list.Routers = append(list.Routers, qlmember.ListedRouter{
				ID:      vm.ID,
				Zone:    vm.Zone,
				Address: vm.Address,
				Leaving: leaving,
			})
		} else if leaving {
			list.LeavingUpstreams = append(list.LeavingUpstreams, vm.ID)
		}
	}
	return list
}

// ParseVMs decodes a VM list and checks that each entry has an id and a known
// kind.
func ParseVMs(data []byte) (*VMs, error) {
	list := &VMs{}
	if err := qljson.Decode(_vmListKey, data, list); err != nil {
		return nil, errors.Trace(err)
	}
	for _, vm := range list.VMs {
		if vm.ID == "" || (vm.Kind != KindRouter && vm.Kind != KindUpstream) {
			return nil, errors.NotValidf("%s: VM %q of kind %q", _vmListKey, vm.ID, vm.Kind)
		}
	}
	return list, nil
}

// Config configures a Client.
type Config struct {
	// URL is the base URL of the platform's service.
	URL string
}

// Client reads the platform's service. It is safe for use by several goroutines.
type Client struct {
	config Config
	http   *http.Client
	calls  atomic.Int64
}

// New returns a client.
func New(config Config) *Client {
	return &Client{
		config: config,
		http: &http.Client{
			Transport: qlhead.DefaultTransport(),
		},
	}
}

// Calls returns the number of calls made to the service.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// Index reads the configuration's index. If wait is positive, the call returns
// when the revision exceeds after, or with ErrUnchanged when the wait ends first;
// otherwise it returns the index at once.
func (c *Client) Index(ctx context.Context, after uint64, wait time.Duration) (qlconfig.Index, error) {
	var index qlconfig.Index
	data, err := c.get(ctx, _indexKey, after, wait)
	if err != nil {
		return index, errors.Trace(err)
	}
	err = qljson.Decode(_indexKey, data, &index)
	return index, errors.Trace(err)
}

// Part reads the configuration part with the given hash.
func (c *Client) Part(ctx context.Context, hash string) ([]byte, error) {
	return c.get(ctx, _partPrefix+hash, 0, 0)
}

// VMs reads the VM list, and waits for a change as Index does. It returns the
// list and its text.
func (c *Client) VMs(ctx context.Context, after uint64, wait time.Duration) (*VMs, []byte, error) {
	data, err := c.get(ctx, _vmListKey, after, wait)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	list, err := ParseVMs(data)
	return list, data, errors.Trace(err)
}

func (c *Client) get(ctx context.Context, key string, after uint64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+_callTimeout)
	defer cancel()
	query := url.Values{}
	if wait > 0 {
		query.Set("after", strconv.FormatUint(after, 10))
		query.Set("wait", wait.String())
	}
	target := fmt.Sprintf("%s/v1/values/%s?%s", c.config.URL, key, query.Encode())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.calls.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Annotatef(err, "read %s", key)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read %s: status %d; ask the platform's operators for the cause", key, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, qlconfig.PartMaxSize+1))
	if err != nil {
		return nil, errors.Annotatef(err, "read %s", key)
	}
	if len(data) > qlconfig.PartMaxSize {
		return nil, errors.Errorf("%s exceeds %d bytes; split it", key, qlconfig.PartMaxSize)
	}
	return data, nil
}
