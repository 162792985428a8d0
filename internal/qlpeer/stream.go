package qlpeer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"storj.io/drpc"
)

// rawStream is either end of a drpc stream of messages.
type rawStream interface {
	drpc.Stream
	Send(message *qlwire.Message) error
	Recv() (*qlwire.Message, error)
}

// peerStream is one stream with a peer. One goroutine reads it, and only the
// goroutine of the queue to that peer writes it.
type peerStream struct {
	raw   rawStream
	peers *Peers
	// dialed is set if this router opened the connection, and so closes it.
	dialed bool
	// from and epoch are the peer's id and epoch, once its hello has arrived.
	from  string
	epoch atomic.Uint64

	nameWriter *qlwire.NameWriter
	nameReader *qlwire.NameReader
	receivedAt atomic.Int64
	ended      chan struct{}
	endOnce    sync.Once
}

func newPeerStream(raw rawStream, peers *Peers) *peerStream {
	return &peerStream{
		raw:        raw,
		peers:      peers,
		nameReader: &qlwire.NameReader{},
		ended:      make(chan struct{}),
	}
}

// end closes the stream and wakes the goroutines that wait for its end.
func (s *peerStream) end() {
	s.endOnce.Do(func() {
		close(s.ended)
		_ = s.raw.Close()
	})
}

// readHello reads the peer's id and epoch from the first message.
func (s *peerStream) readHello() error {
	message, err := s.raw.Recv()
	if err != nil {
		return errors.Trace(err)
	}
	hello := message.GetHello()
	if hello.GetFrom() == "" || hello.GetIncarnation() == 0 {
		return errors.NotValidf("first message of a stream without the sender's name and start,")
	}
	s.from = hello.GetFrom()
	s.epoch.Store(hello.GetIncarnation())
	return nil
}

// read passes the peer's messages to Config.Receive until the stream ends. A
// broken stream is an ordinary end; a message whose shortened names cannot be
// restored is an error.
func (s *peerStream) read() error {
	for {
		message, err := s.raw.Recv()
		if err != nil {
			return nil //nolint:nilerr // a broken stream is an ordinary end.
		}
		if err := s.nameReader.Restore(message); err != nil {
			return errors.Annotatef(err, "stream of router %s", s.from)
		}
		s.receivedAt.Store(time.Now().UnixNano())
		if s.peers.config.Receive != nil {
			s.peers.config.Receive(s.from, s.epoch.Load(), message)
		}
	}
}

// write sends a message, after this router's hello if it is the first. It ends
// the stream of a peer that accepts nothing for _sendTimeout.
func (s *peerStream) write(message *qlwire.Message) error {
	if s.nameWriter == nil {
		s.nameWriter = qlwire.NewNameWriter()
		if err := s.writeHello(); err != nil {
			return errors.Trace(err)
		}
	}
	watchdog := time.AfterFunc(_sendTimeout, s.end)
	defer watchdog.Stop()
	return errors.Trace(s.raw.Send(s.nameWriter.Shorten(message)))
}

func (s *peerStream) writeHello() error {
	return s.raw.Send(&qlwire.Message{
		Body: &qlwire.Message_Hello{
			Hello: &qlwire.Hello{
				From:        s.peers.config.Self,
				Incarnation: s.peers.config.Epoch,
			},
		},
	})
}

// sinceReceived returns the time since the last message from the peer; it is
// longer than any timeout if there was none.
func (s *peerStream) sinceReceived() time.Duration {
	return time.Since(time.Unix(0, s.receivedAt.Load()))
}
