package qloffload

import (
	"bufio"
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlbuffer"
	"github.com/quetzallane/quetzallane/internal/qlhead"
	"go.uber.org/zap"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Handler handles the requests.
	Handler http.Handler
	// Declines reports whether a request with the stamp is declined.
	Declines func(stamp Stamp) bool
	Log      *zap.Logger
}

// Server takes requests that other routers offload.
type Server struct {
	config  ServerConfig
	started time.Time
	buffers *qlbuffer.Pool
	readers sync.Pool
	active  atomic.Int64
	taken   atomic.Uint64
	// setRoomAt is when the room was set last.
	setRoomAt atomic.Int64

	mu    sync.Mutex
	links map[*serverLink]bool
	// room is the rate of requests that this router takes from all others, in requests a
	// second. It is unlimited, and not told, until it is set.
	room    float64
	roomSet bool
}

const (
	// _offerTime is how long after its last request a router is given a part of the room.
	_offerTime = time.Second
	// _roomChange is the relative change of a router's room that is told.
	_roomChange = 0.1
)

// SetRoom sets the rate of requests that this router takes from all others, in requests a
// second, and tells those that have links. The room is divided between those that offload.
func (s *Server) SetRoom(now time.Duration, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room, s.roomSet = rate, true
	s.setRoomAt.Store(int64(now))
	part := s.roomPart()
	for l := range s.links {
		l.tellRoom(part)
	}
}

// roomPart returns the part of the room of each router that offloads. The caller holds the
// lock.
func (s *Server) roomPart() float64 {
	offering := make(map[string]bool)
	for l := range s.links {
		if l.offered.Load() && time.Duration(s.setRoomAt.Load()-l.offeredAt.Load()) <= _offerTime {
			offering[l.host] = true
		}
	}
	return s.room / float64(max(len(offering), 1))
}

// NewServer returns a server with the given configuration.
func NewServer(config ServerConfig) *Server {
	return &Server{
		config:  config,
		started: time.Now(),
		buffers: qlbuffer.NewPool(_bufferSize),
		readers: sync.Pool{
			New: func() any { return bufio.NewReader(nil) },
		},
		links: make(map[*serverLink]bool),
	}
}

// Taken returns how many requests of other routers were handled since the start.
func (s *Server) Taken() uint64 {
	return s.taken.Load()
}

// Serve accepts links until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return errors.Trace(err)
		}
		conn, ok := accepted.(*net.TCPConn)
		if !ok {
			_ = accepted.Close()
			return errors.NotSupportedf("connection of type %T", accepted)
		}
		go s.serveLink(conn)
	}
}

// Shutdown waits until all requests have ended, or the context does, and closes all links.
// The listener has to be closed, and requests declined, by then.
func (s *Server) Shutdown(ctx context.Context) {
	ticker := time.NewTicker(_shutdownPollInterval)
	defer ticker.Stop()
	for s.active.Load() > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	s.mu.Lock()
	links := make([]*serverLink, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.queue.close()
		select {
		case <-l.written:
		case <-ctx.Done():
		}
	}
}

// _shutdownPollInterval is the time between checks for requests that have not ended.
const _shutdownPollInterval = 10 * time.Millisecond

// serverLink is a link that another router has opened.
type serverLink struct {
	server *Server
	conn   *net.TCPConn
	from   string
	host   string
	queue  *sendQueue
	// offered is set once a request has come, and offeredAt is when the last one came, as of
	// the last SetRoom.
	offered   atomic.Bool
	offeredAt atomic.Int64
	// toldRoom is the last rate that was told, if any. The server's lock guards both.
	toldRoom uint32
	told     bool
	// written is closed once nothing more is written.
	written chan struct{}
	// ctx ends with the link.
	ctx context.Context

	// delays and waited are about the requests of the other router; only the reader uses them.
	delays delayMeter
	// waited is how long the request that comes next has waited on the link.
	waited time.Duration

	mu      sync.Mutex
	cancels map[uint32]context.CancelFunc
}

// hostOf returns the other end's address without the port, or with it if it has no other.
func hostOf(conn *net.TCPConn) string {
	address := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

func (s *Server) serveLink(conn *net.TCPConn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &serverLink{
		server:  s,
		conn:    conn,
		from:    conn.RemoteAddr().String(),
		host:    hostOf(conn),
		written: make(chan struct{}),
		ctx:     ctx,
		cancels: make(map[uint32]context.CancelFunc),
	}
	var err error
	if l.queue, err = newSendQueue(conn, func() {}); err != nil {
		s.config.Log.Warn("offload-link-refused", zap.String("router", l.from), zap.Error(err))
		_ = conn.Close()
		return
	}
	err = setTimeouts(conn)
	if err == nil {
		err = l.queue.add(true, func(to []byte) []byte { return appendFrame(append(to, _hello), framePong, 0, nil) })
	}
	s.mu.Lock()
	s.links[l] = true
	if s.roomSet {
		l.tellRoom(s.roomPart())
	}
	s.mu.Unlock()
	go func() {
		defer close(l.written)
		if err := l.queue.run(); err != nil {
			s.config.Log.Info("offload-link-not-written", zap.String("router", l.from), zap.Error(err))
		}
		_ = conn.Close()
	}()
	if err == nil {
		err = readFrames(conn, s.buffers, l.receive)
	}
	s.config.Log.Debug("offload-link-ended", zap.String("router", l.from), zap.Error(err))
	l.queue.close()
	_ = conn.Close()
	s.mu.Lock()
	delete(s.links, l)
	s.mu.Unlock()
}

// tellRoom tells the other router its room, unless that is about as it was told. The caller
// holds the server's lock.
func (l *serverLink) tellRoom(room float64) {
	rate := uint32(room)
	if l.told && (rate == 0) == (l.toldRoom == 0) && math.Abs(room-float64(l.toldRoom)) <= _roomChange*float64(l.toldRoom) {
		return
	}
	if err := l.queue.addControl(frameRoom, 0, roomPayload(rate)); err == nil {
		l.toldRoom, l.told = rate, true
	}
	// An error means that the link has ended, and the other router knows.
}

// receive handles a frame of the offloading router.
func (l *serverLink) receive(kind frameKind, id uint32, payload []byte) error {
	switch kind {
	case frameRequest:
		stamp, request, err := splitRequest(payload)
		if err != nil {
			return errors.Trace(err)
		}
		stamp.Waited += l.waited
		l.waited = 0
		l.offeredAt.Store(l.server.setRoomAt.Load())
		l.offered.Store(true)
		if l.server.config.Declines(stamp) {
			return l.queue.addControl(frameDeclined, id, nil)
		}
		l.start(id, stamp, bytes.Clone(request))
	case frameCancel:
		l.mu.Lock()
		cancel := l.cancels[id]
		l.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case frameClock:
		sentAt, err := splitClock(payload)
		if err != nil {
			return errors.Trace(err)
		}
		l.waited = l.delays.observe(time.Since(l.server.started), sentAt)
	case framePing:
		return l.queue.addControl(framePong, 0, nil)
	case frameAnswer, frameEnd, frameDeclined, frameBroken, frameRoom, framePong:
		return errors.NotValidf("frame of kind %d in a request", kind)
	}
	return nil
}

func (l *serverLink) start(id uint32, stamp Stamp, request []byte) {
	origin := &Origin{
		stamp: stamp,
		from:  l.from,
	}
	ctx, cancel := context.WithCancel(context.WithValue(l.ctx, originKey{}, origin))
	l.mu.Lock()
	l.cancels[id] = cancel
	l.mu.Unlock()
	l.server.active.Add(1)
	l.server.taken.Add(1)
	go func() {
		defer l.server.active.Add(-1)
		w := &answerWriter{
			link:       l,
			id:         id,
			header:     make(http.Header),
			askToClose: stamp.AskToClose,
		}
		kind, payload := frameBroken, []byte(nil)
		if l.handle(ctx, w, request) && w.finish() == nil {
			kind, payload = frameEnd, origin.flags()
		}
		l.mu.Lock()
		delete(l.cancels, id)
		l.mu.Unlock()
		cancel()
		// An error means that the link has ended, and the other router knows.
		_ = l.queue.addControl(kind, id, payload)
	}()
}

// handle handles a request and reports whether its answer is whole.
func (l *serverLink) handle(ctx context.Context, w *answerWriter, raw []byte) (whole bool) {
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			l.server.config.Log.Error("offloaded-request-panicked", zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	reader, _ := l.server.readers.Get().(*bufio.Reader)
	defer l.server.readers.Put(reader)
	reader.Reset(bytes.NewReader(raw))
	request, err := qlhead.ReadRequest(reader)
	if err != nil {
		// The answer is that of the HTTP server.
		w.header.Set("Content-Type", "text/plain; charset=utf-8")
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	request.RemoteAddr = l.from
	l.server.config.Handler.ServeHTTP(w, request.WithContext(ctx))
	return true
}

// Origin says where an offloaded request comes from.
type Origin struct {
	stamp Stamp
	from  string
	// overShare is set if the request was refused since its customer is above its share.
	overShare bool
}

// SetOverShare records that the request was refused since its customer is above its share,
// for the router that has offloaded it. Only the request's handler may call it.
func (o *Origin) SetOverShare() {
	o.overShare = true
}

// flags returns what the router that has offloaded the request learns at its end.
func (o *Origin) flags() []byte {
	if !o.overShare {
		return nil
	}
	return []byte{_flagOverShare}
}

// Waited returns how long the request has waited at the router that has offloaded it.
func (o *Origin) Waited() time.Duration {
	return o.stamp.Waited
}

// From returns the address of that router.
func (o *Origin) From() string {
	return o.from
}

type originKey struct{}

// OriginOf returns the origin of an offloaded request, by its context; ok is false for a
// caller's own request.
func OriginOf(ctx context.Context) (origin *Origin, ok bool) {
	origin, ok = ctx.Value(originKey{}).(*Origin)
	return origin, ok
}
