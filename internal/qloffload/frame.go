package qloffload

import (
	"encoding/binary"
	"time"

	"github.com/juju/errors"
)

// frameKind is the kind of a frame on a link.
type frameKind byte

const (
	// frameRequest is a whole request, after its stamp.
	frameRequest frameKind = iota + 1
	// frameCancel: the caller has disconnected.
	frameCancel
	// frameAnswer is a part of the answer, as the caller gets it.
	frameAnswer
	// frameEnd: the answer is complete. Its payload is a byte of flags; none is 0.
	frameEnd
	// frameDeclined: the request was not handled and will not be.
	frameDeclined
	// frameBroken: the answer has broken off.
	frameBroken
	// frameRoom: the payload is the rate of requests that the router takes from the other one,
	// in requests a second. It belongs to no request.
	frameRoom
	// framePing asks for a framePong. They belong to no request, and a router of an earlier
	// version ignores them.
	framePing
	// framePong answers a framePing. The router that takes requests sends one at the beginning,
	// too, by which the other one learns that it answers pings.
	framePong
	// frameClock is sent before a request: the payload is the sender's clock.
	frameClock
)

const (
	// A frame's head is its kind, the number of its request on the link, and the length of
	// the rest.
	_frameHeadBytes  = 1 + 4 + 4
	_stampBytes      = 1 + 8 + 4
	_roomBytes       = 4
	_clockBytes      = 8
	_maxPayloadBytes = 256 << 10
	// _flagAskToClose is set in a stamp if the caller is to close its connection.
	_flagAskToClose = 1
	// _flagOverShare is set at the end of an answer if the request was refused since its
	// customer is above its share.
	_flagOverShare = 1
)

// Stamp is what an offloading router tells about a request.
type Stamp struct {
	// Revision is that of its configuration.
	Revision uint64
	// Waited is how long the request has waited there.
	Waited time.Duration
	// AskToClose is set if the caller is to close its connection after the answer.
	AskToClose bool
}

// appendFrame appends a frame.
func appendFrame(to []byte, kind frameKind, id uint32, payload []byte) []byte {
	to = appendFrameHead(to, kind, id, len(payload))
	return append(to, payload...)
}

func appendFrameHead(to []byte, kind frameKind, id uint32, length int) []byte {
	to = append(to, byte(kind))
	to = binary.BigEndian.AppendUint32(to, id)
	return binary.BigEndian.AppendUint32(to, uint32(length))
}

// appendClock appends the frame that tells this router's clock.
func appendClock(to []byte, now time.Duration) []byte {
	to = appendFrameHead(to, frameClock, 0, _clockBytes)
	return binary.BigEndian.AppendUint64(to, uint64(now.Microseconds()))
}

// appendRequest appends the frame of a request.
func appendRequest(to []byte, id uint32, stamp Stamp, request []byte) []byte {
	to = appendFrameHead(to, frameRequest, id, _stampBytes+len(request))
	flags := byte(0)
	if stamp.AskToClose {
		flags |= _flagAskToClose
	}
	to = append(to, flags)
	to = binary.BigEndian.AppendUint64(to, stamp.Revision)
	to = binary.BigEndian.AppendUint32(to, uint32(max(stamp.Waited, 0).Milliseconds()))
	return append(to, request...)
}

// splitClock returns the sender's clock of a frame's payload. Further bytes are of later versions.
func splitClock(payload []byte) (sentAt time.Duration, err error) {
	if len(payload) < _clockBytes {
		return 0, errors.NotValidf("clock of %d bytes", len(payload))
	}
	return time.Duration(binary.BigEndian.Uint64(payload)) * time.Microsecond, nil
}

// roomPayload returns the payload of a frame that tells a rate.
func roomPayload(rate uint32) []byte {
	return binary.BigEndian.AppendUint32(nil, rate)
}

// splitRoom returns the rate of such a payload. Further bytes are of later versions.
func splitRoom(payload []byte) (rate uint32, err error) {
	if len(payload) < _roomBytes {
		return 0, errors.NotValidf("room of %d bytes", len(payload))
	}
	return binary.BigEndian.Uint32(payload), nil
}

// splitRequest returns the stamp and the request of a frame's payload.
func splitRequest(payload []byte) (stamp Stamp, request []byte, err error) {
	if len(payload) < _stampBytes {
		return Stamp{}, nil, errors.NotValidf("request of %d bytes", len(payload))
	}
	return Stamp{
		AskToClose: payload[0]&_flagAskToClose != 0,
		Revision:   binary.BigEndian.Uint64(payload[1:]),
		Waited:     time.Duration(binary.BigEndian.Uint32(payload[9:])) * time.Millisecond,
	}, payload[_stampBytes:], nil
}

// frameReader splits received bytes into frames.
type frameReader struct {
	// rest is a frame that has not arrived whole.
	rest []byte
}

// read calls handle for each whole frame. The payload is valid until handle returns.
func (r *frameReader) read(data []byte, handle func(kind frameKind, id uint32, payload []byte) error) error {
	if len(r.rest) > 0 {
		r.rest = append(r.rest, data...)
		data = r.rest
	}
	for len(data) >= _frameHeadBytes {
		length := int(binary.BigEndian.Uint32(data[5:]))
		if length > _maxPayloadBytes {
			return errors.Errorf("a frame of %d bytes exceeds %d", length, _maxPayloadBytes)
		}
		end := _frameHeadBytes + length
		if len(data) < end {
			break
		}
		if err := handle(frameKind(data[0]), binary.BigEndian.Uint32(data[1:]), data[_frameHeadBytes:end]); err != nil {
			return errors.Trace(err)
		}
		data = data[end:]
	}
	if len(data) == 0 {
		r.rest = nil
		return nil
	}
	r.rest = append([]byte(nil), data...)
	return nil
}
