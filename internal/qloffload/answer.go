package qloffload

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// _queueFullWait is how long a part of an answer waits for room in the link's queue
	// before it tries again, and _maxWriteWait for how long, unless the handler sets a
	// deadline.
	_queueFullWait = 5 * time.Millisecond
	_maxWriteWait  = 5 * time.Second
	// _maxFrameAnswer bounds the part of an answer in one frame.
	_maxFrameAnswer = 32 << 10
)

// answerWriter is the http.ResponseWriter of an offloaded request. It writes the answer as
// the caller gets it: with its length if the handler does not flush, in chunks otherwise.
type answerWriter struct {
	link       *serverLink
	id         uint32
	header     http.Header
	askToClose bool
	status     int
	// buffered is the body up to now, until the first Flush.
	buffered bytes.Buffer
	// streaming is set once the head was sent.
	streaming bool
	deadline  time.Time
	// sendErr is the error of the first part that was not sent. Nothing is sent after it.
	sendErr error
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header {
	return w.header
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements io.Writer.
func (w *answerWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.buffered.Write(data)
}

// SetWriteDeadline is called by http.ResponseController.
func (w *answerWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

// FlushError is called by http.ResponseController. It sends what was written.
func (w *answerWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if !w.hasBody() {
		return nil
	}
	var out bytes.Buffer
	first := !w.streaming
	if first {
		w.streaming = true
		w.header.Set("Transfer-Encoding", "chunked")
		w.writeHead(&out)
	}
	w.writeChunk(&out)
	return w.send(first, out.Bytes())
}

// hasBody reports whether answers with the status have a body.
func (w *answerWriter) hasBody() bool {
	return w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// finish sends the rest of the answer.
func (w *answerWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	var out bytes.Buffer
	if w.streaming {
		w.writeChunk(&out)
		out.WriteString("0\r\n\r\n")
		return w.send(true, out.Bytes())
	}
	if w.hasBody() {
		w.header.Set("Content-Length", strconv.Itoa(w.buffered.Len()))
	} else {
		w.buffered.Reset()
	}
	w.writeHead(&out)
	out.Write(w.buffered.Bytes())
	return w.send(true, out.Bytes())
}

// writeHead writes the head. The handler's Connection field is about this router's own
// connections.
func (w *answerWriter) writeHead(out *bytes.Buffer) {
	w.header.Del("Connection")
	if w.askToClose {
		w.header.Set("Connection", "close")
	}
	if _, ok := w.header["Date"]; !ok {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	out.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	// Writes to a buffer do not fail.
	_ = w.header.Write(out)
	out.WriteString("\r\n")
}

func (w *answerWriter) writeChunk(out *bytes.Buffer) {
	if w.buffered.Len() == 0 {
		return
	}
	out.WriteString(strconv.FormatInt(int64(w.buffered.Len()), 16) + "\r\n")
	_, _ = io.Copy(out, &w.buffered)
	out.WriteString("\r\n")
	w.buffered.Reset()
}

// send queues a part of the answer. It waits while the link's queue is full.
func (w *answerWriter) send(urgent bool, data []byte) error {
	if w.sendErr == nil {
		w.sendErr = w.trySend(urgent, data)
	}
	return w.sendErr
}

func (w *answerWriter) trySend(urgent bool, data []byte) error {
	deadline := w.deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(_maxWriteWait)
	}
	for len(data) > 0 {
		part := data[:min(len(data), _maxFrameAnswer)]
		err := w.link.queue.add(urgent, func(to []byte) []byte { return appendFrame(to, frameAnswer, w.id, part) })
		switch {
		case err == nil:
			data = data[len(part):]
		case !errors.Is(err, errQueueFull) || time.Now().After(deadline):
			return errors.Trace(err)
		default:
			time.Sleep(_queueFullWait)
		}
	}
	return nil
}
