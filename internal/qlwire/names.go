package qlwire

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

// Most messages of a stream name the same few customers, pools and upstreams.
// To save bytes, both ends of a stream number the most recently used names: the
// first message that uses a name carries the name and its number, later ones only
// the number. A stream delivers all messages in order until it ends, so both ends
// agree on the numbers; a new stream begins without any. The number of the least
// recently used name is given to a new one, since a stream may last for weeks and
// carry the name of every customer.

// _maxNumbers is how many names a stream numbers. It could be up to 127, the
// largest number that takes one byte, but each name takes memory at both ends of
// every connection.
const _maxNumbers = 64

// NameWriter numbers the names in the messages of one stream. It is not safe
// for use by several goroutines.
type NameWriter struct {
	numbers *simplelru.LRU[string, uint32]
}

// NewNameWriter returns a writer for a new stream.
func NewNameWriter() *NameWriter {
	// The only possible error is a size that is not positive.
	numbers, _ := simplelru.NewLRU[string, uint32](_maxNumbers, nil)
	return &NameWriter{
		numbers: numbers,
	}
}

// Shorten returns the message with names replaced by numbers, as it is to be
// sent on the stream. It doesn't change the message itself, which may be sent to
// other routers too.
func (w *NameWriter) Shorten(message *Message) *Message {
	named := false
	_ = eachName(message, func(name *string, _ *uint32) error {
		named = named || *name != ""
		return nil
	})
	if !named {
		return message
	}
	short := proto.Clone(message).(*Message)
	_ = eachName(short, func(name *string, number *uint32) error {
		w.shorten(name, number)
		return nil
	})
	return short
}

func (w *NameWriter) shorten(name *string, number *uint32) {
	if *name == "" {
		return
	}
	if known, ok := w.numbers.Get(*name); ok {
		*name = ""
		*number = known
		return
	}
	next := uint32(w.numbers.Len()) + 1
	if next > _maxNumbers {
		_, next, _ = w.numbers.RemoveOldest()
	}
	w.numbers.Add(*name, next)
	*number = next
}

// NameReader replaces numbers by names in the messages received on one stream.
// Its zero value is ready for a new stream. It is not safe for use by several
// goroutines.
type NameReader struct {
	names []string
}

// Restore replaces the numbers in the message by names. An error means that the
// two ends disagree on the numbers; the stream must be closed.
func (r *NameReader) Restore(message *Message) error {
	return eachName(message, r.restore)
}

func (r *NameReader) restore(name *string, number *uint32) error {
	n := int(*number)
	*number = 0
	switch {
	case n == 0:
		return nil
	case n > _maxNumbers:
		return errors.NotValidf("number %d of a name, want at most %d,", n, _maxNumbers)
	case *name != "":
		for len(r.names) < n {
			r.names = append(r.names, "")
		}
		r.names[n-1] = *name
		return nil
	case n > len(r.names) || r.names[n-1] == "":
		return errors.NotFoundf("name of number %d", n)
	}
	*name = r.names[n-1]
	return nil
}

// eachName calls visit with pointers to each name of a message and to its number.
// It ends with the first error.
func eachName(message *Message, visit func(name *string, number *uint32) error) error {
	switch body := message.GetBody().(type) {
	case *Message_Probe:
		return eachLevel(body.Probe.GetDigest().GetLevels(), visit)
	case *Message_ProbeAck:
		return eachLevel(body.ProbeAck.GetDigest().GetLevels(), visit)
	case *Message_Offer:
		return eachLevel(body.Offer.GetLevels(), visit)
	case *Message_Demand:
		for _, item := range body.Demand.GetItems() {
			if err := visit(&item.Customer, &item.CustomerRef); err != nil {
				return err
			}
			if err := visit(&item.Pool, &item.PoolRef); err != nil {
				return err
			}
		}
	case *Message_Grant:
		return eachGrantName(body.Grant, visit)
	case *Message_UsageReport:
		for _, item := range body.UsageReport.GetItems() {
			if err := visit(&item.Customer, &item.CustomerRef); err != nil {
				return err
			}
		}
		return visit(&body.UsageReport.Pool, &body.UsageReport.PoolRef)
	case *Message_UsageReply:
		for _, total := range body.UsageReply.GetTotals() {
			if err := visit(&total.Customer, &total.CustomerRef); err != nil {
				return err
			}
		}
		return visit(&body.UsageReply.Pool, &body.UsageReply.PoolRef)
	}
	return nil
}

func eachLevel(levels []*PoolLevel, visit func(name *string, number *uint32) error) error {
	for _, level := range levels {
		if err := visit(&level.Pool, &level.PoolRef); err != nil {
			return err
		}
	}
	return nil
}

func eachGrantName(grant *Grant, visit func(name *string, number *uint32) error) error {
	if err := visit(&grant.Customer, &grant.CustomerRef); err != nil {
		return err
	}
	if err := visit(&grant.Pool, &grant.PoolRef); err != nil {
		return err
	}
	return visit(&grant.Upstream, &grant.UpstreamRef)
}
