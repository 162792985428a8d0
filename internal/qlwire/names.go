package qlwire

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

// The same few customers, pools and upstreams are named in most messages of a
// stream. So a stream's ends number the names that were used last: the first
// message that uses a name carries name and number, the next ones the number.
// A stream keeps its order and loses nothing while it lives, so both ends have
// the same numbers; a new stream begins with none. The numbers are reused,
// since a stream may live for weeks and see every customer.

// _nameSlots is how many names a stream numbers. Numbers up to 127 take one
// byte; each costs memory at both ends of every connection.
const _nameSlots = 64

// NameWriter numbers the names in the messages of one stream. It is not safe
// for use by several goroutines.
type NameWriter struct {
	numbers *simplelru.LRU[string, uint32]
}

// NewNameWriter returns a writer for a new stream.
func NewNameWriter() *NameWriter {
	// The size is positive, which is all that could be wrong.
	numbers, _ := simplelru.NewLRU[string, uint32](_nameSlots, nil)
	return &NameWriter{
		numbers: numbers,
	}
}

// Shorten returns the message as it goes over the stream. The message itself
// is left as it is, since it may go to other routers too.
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
	if next > _nameSlots {
		_, next, _ = w.numbers.RemoveOldest()
	}
	w.numbers.Add(*name, next)
	*number = next
}

// NameReader puts the names back into the messages of one stream. It is not
// safe for use by several goroutines.
type NameReader struct {
	names []string
}

// Restore puts the names back. An error means that the stream cannot be
// understood any more and is to be closed.
func (r *NameReader) Restore(message *Message) error {
	return eachName(message, r.restore)
}

func (r *NameReader) restore(name *string, number *uint32) error {
	n := int(*number)
	*number = 0
	switch {
	case n == 0:
		return nil
	case n > _nameSlots:
		return errors.NotValidf("number %d of a name, want at most %d,", n, _nameSlots)
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

// eachName visits each name of a message with the place of its number, until
// a visit fails.
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
