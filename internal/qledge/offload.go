package qledge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlintake"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"go.uber.org/zap"
)

// newCallerListener returns the listener for callers' connections.
func (e *Edge) newCallerListener(listener net.Listener, server *http.Server) *limitListener {
	return newLimitListener(listenerConfig{
		Listener: listener,
		Delay:    func() time.Duration { return e.acceptPace.Delay(e.clock(), e.fleet.Lag()) },
		Paced:    func() bool { return e.admission.IsLimiting() || e.acceptPace.IsPaced(e.clock()) },
		Admit:    e.callers.admit,
		Intake: qlintake.New(qlintake.Config{
			Customer:       e.serviceAndCustomer,
			Decide:         e.admission.Decide,
			DecideDeclined: e.admission.DecideDeclined,
			OnLeft:         e.admission.Withdraw,
			OnOverShare:    e.admission.RecordOverShare,
			Refusal:        e.refusal,
			IdleTimeout:    func() time.Duration { return server.IdleTimeout },
			Offloader:      e.offloader,
			TimeLimit: func(head qlintake.Head) time.Duration {
				return e.forwarder.OffloadTimeLimit(head.Target(), head.Get)
			},
			MaxPendingBytes: int64(_pendingMemoryFraction * float64(e.settings.MemoryMB) * _megabyte),
			Stamp: func() qloffload.Stamp {
				return qloffload.Stamp{
					Revision:   e.revision.Load(),
					Waited:     e.fleet.Lag(),
					AskToClose: e.callers.isCrowded(),
				}
			},
			OnState: e.callers.onStateChange,

			Meter:         e.meter,
			ReaderTimeout: e.settings.ReaderTimeout(),
		}),
		AdmitRequest: e.admitRequest,
		MaxWaiting:   maxWaitingConnections(e.settings.Descriptors),
		Refusal:      e.forwarder.RawRefusal,
		OnState:      e.callers.onStateChange,

		FirstRequestTimeout: func() time.Duration { return server.ReadHeaderTimeout },
		Log:                 e.log,
	})
}

// customerOf returns the customer of a request, of which this is the first part, or "".
func (e *Edge) customerOf(request []byte) string {
	return e.forwarder.CustomerOf(qlintake.Head(request).Get)
}

// refusal returns the answer to a request that the intake refuses, and whether to close its
// connection.
func (e *Edge) refusal(head qlintake.Head, action qladmission.Action, closing bool) (answer []byte, closes bool) {
	if action == qladmission.RefuseShare {
		retryAfter := e.admission.ShareRetryAfter(e.serviceAndCustomer(head))
		return e.forwarder.RefuseShareHead(head.Get, retryAfter, closing)
	}
	return e.forwarder.RefuseHead(head.Get, closing)
}

// serviceAndCustomer returns the service of engines that a request is for, if any, and its
// customer.
func (e *Edge) serviceAndCustomer(head qlintake.Head) (service, customer string) {
	return e.forwarder.ServiceOf(head.Target(), head.Get), e.forwarder.CustomerOf(head.Get)
}

// recordOverShare records a refusal by the owner of the engines, unless the request was not
// counted before.
func (e *Edge) recordOverShare(ctx context.Context, service, customer string) {
	if conn, ok := ctx.Value(connectionKey{}).(*qlintake.Conn); ok && conn.AdmissionChecked() {
		e.admission.RecordOverShare(service, customer)
	}
}

// admit reports whether this VM has processor time for a request of the customer. Requests
// that the intake has checked were decided on, as were those that this router has taken from
// another one.
func (e *Edge) admit(ctx context.Context, customer string) bool {
	if _, ok := qloffload.OriginOf(ctx); ok {
		return true
	}
	conn, ok := ctx.Value(connectionKey{}).(*qlintake.Conn)
	if ok && conn.AdmissionChecked() || e.shedder.Admit(e.clock(), customer, rand.Float64()) {
		return true
	}
	e.offloader.CountKept(qloffload.NotOffloadable)
	return false
}

// admitRequest reports whether a connection above the limit is kept for its request, and
// counts it as rejected if not.
func (e *Edge) admitRequest(request []byte) bool {
	customer := e.customerOf(request)
	if customer != "" && e.callers.admitLight() && e.shedder.IsLight(e.clock(), customer) {
		return true
	}
	outcome := qloutcome.Rejected
	if len(request) == 0 {
		outcome = qloutcome.RejectedUnread
	}
	e.outcomes.Add(customer, outcome)
	e.callers.countRejection(customer)
	return false
}

// declinesOffload reports whether this router declines a request of another one: it has no
// processor time to spare, or is stopping. It also declines requests of routers with
// another configuration, since a caller would get answers by either in turn.
func (e *Edge) declinesOffload(stamp qloffload.Stamp) bool {
	return e.stopping.Load() || stamp.Revision != e.revision.Load() ||
		!e.admission.TakesOffloaded(e.fleet.Lag()) || e.forwarder.MemoryHalfUsed()
}

// offloadRoom returns the rate of requests that this router takes from others, in requests a
// second.
func (e *Edge) offloadRoom(lag time.Duration) float64 {
	if e.stopping.Load() || e.forwarder.MemoryHalfUsed() {
		return 0
	}
	return e.admission.Room(lag)
}

// offloadPeers returns the routers of this zone that may take requests.
func (e *Edge) offloadPeers() []qloffload.Peer {
	_, port, err := net.SplitHostPort(e.settings.OffloadAddress)
	if err != nil {
		e.log.Error("offload-address-invalid", zap.Error(err))
		return nil
	}
	var peers []qloffload.Peer
	for _, neighbor := range e.fleet.Core().Neighbors() {
		host, _, err := net.SplitHostPort(neighbor.Address)
		if err != nil {
			e.log.Warn("router-address-invalid", zap.String("address", neighbor.Address), zap.Error(err))
			continue
		}
		peers = append(peers, qloffload.NewPeer(net.JoinHostPort(host, port), neighbor.Capacity))
	}
	return peers
}

// awaitOffloaded waits until other routers have answered all offloaded requests and the
// callers have read the answers. At the cutoff, it ends those that are still active, and
// returns how many they were. The server takes the connections of their callers for idle.
func (e *Edge) awaitOffloaded(cutoff time.Time) (cut int64) {
	for time.Now().Before(cutoff) && e.offloader.Active()+e.offloader.Delivering() > 0 {
		time.Sleep(_unreadPollInterval)
	}
	return e.offloader.Cut()
}
