package qlpeer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"storj.io/drpc"
)

// rawStream is a drpc stream of messages, from either end.
type rawStream interface {
	drpc.Stream
	Send(message *qlwire.Message) error
	Recv() (*qlwire.Message, error)
}

// wire is one stream with a peer. One goroutine reads it; one, the peer's
// outlet, may write it.
type wire struct {
	stream rawStream
	peers  *Peers
	// dialled says that this router opened the connection, and so closes it.
	dialled bool
	// from and epoch tell who the peer is, once it has said so.
	from  string
	epoch atomic.Uint64

	written    *qlwire.NameWriter
	names      *qlwire.NameReader
	receivedAt atomic.Int64
	ended      chan struct{}
	once       sync.Once
}

func newWire(stream rawStream, peers *Peers) *wire {
	return &wire{
		stream: stream,
		peers:  peers,
		names:  &qlwire.NameReader{},
		ended:  make(chan struct{}),
	}
}

// end closes the stream; what waits for it goes on.
func (w *wire) end() {
	w.once.Do(func() {
		close(w.ended)
		_ = w.stream.Close()
	})
}

// readHello reads who the peer is.
func (w *wire) readHello() error {
	message, err := w.stream.Recv()
	if err != nil {
		return errors.Trace(err)
	}
	hello := message.GetHello()
	if hello.GetFrom() == "" || hello.GetIncarnation() == 0 {
		return errors.NotValidf("first message of a stream without the sender's name and start,")
	}
	w.from = hello.GetFrom()
	w.epoch.Store(hello.GetIncarnation())
	return nil
}

// read hands on what the peer sends until the stream ends. A broken stream is
// an ordinary end; one that cannot be understood is an error.
func (w *wire) read() error {
	for {
		message, err := w.stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // a broken stream is an ordinary end.
		}
		if err := w.names.Restore(message); err != nil {
			return errors.Annotatef(err, "stream of router %s", w.from)
		}
		w.receivedAt.Store(time.Now().UnixNano())
		if w.peers.config.Receive != nil {
			w.peers.config.Receive(w.from, w.epoch.Load(), message)
		}
	}
}

// write sends a message, after who this router is where it is the first. A
// peer that takes nothing for a while is cut off.
func (w *wire) write(message *qlwire.Message) error {
	if w.written == nil {
		w.written = qlwire.NewNameWriter()
		if err := w.writeHello(); err != nil {
			return errors.Trace(err)
		}
	}
	watchdog := time.AfterFunc(_sendTimeout, w.end)
	defer watchdog.Stop()
	return errors.Trace(w.stream.Send(w.written.Shorten(message)))
}

func (w *wire) writeHello() error {
	return w.stream.Send(&qlwire.Message{
		Body: &qlwire.Message_Hello{
			Hello: &qlwire.Hello{
				From:        w.peers.config.Self,
				Incarnation: w.peers.config.Epoch,
			},
		},
	})
}

// quietFor returns the time since the peer last sent something.
func (w *wire) quietFor() time.Duration {
	return time.Since(time.Unix(0, w.receivedAt.Load()))
}
