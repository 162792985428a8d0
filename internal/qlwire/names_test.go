package qlwire_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlwire"
	"google.golang.org/protobuf/proto"
)

func demandOf(customer string) *qlwire.Message {
	return &qlwire.Message{
		Body: &qlwire.Message_Demand{
			Demand: &qlwire.Demand{
				Sequence: 1,
				Items: []*qlwire.DemandItem{
					{
						Customer: customer,
						Pool:     "model",
						Waiting:  1,
					},
				},
			},
		},
	}
}

// TestNamesAreRestored sends the names of far more customers than a stream
// numbers, so that numbers are reused, with a few names sent often. Shortening
// must save a third of the bytes.
func TestNamesAreRestored(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	writer := qlwire.NewNameWriter()
	reader := &qlwire.NameReader{}
	plain, sent := 0, 0
	for range 10000 {
		customer := fmt.Sprintf("customer-%05d", random.IntN(12))
		if random.IntN(4) == 0 {
			customer = fmt.Sprintf("customer-%05d", random.IntN(23000))
		}
		want := demandOf(customer)
		message := demandOf(customer)
		short := writer.Shorten(message)
		if !proto.Equal(message, want) {
			t.Fatalf("shortening changed the message itself: got %v, want %v", message, want)
		}
		plain += proto.Size(message)
		sent += proto.Size(short)
		got := proto.Clone(short).(*qlwire.Message)
		if err := reader.Restore(got); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(got, want) {
			t.Fatalf("restored: got %v, want %v", got, want)
		}
	}
	t.Logf("%d bytes instead of %d", sent, plain)
	if want := plain * 2 / 3; sent > want {
		t.Errorf("shortened messages: got %d bytes instead of %d, want at most %d", sent, plain, want)
	}
}

// TestNumbersWithoutNamesAreRefused restores a message with a number that no
// earlier message of the stream gave to a name.
func TestNumbersWithoutNamesAreRefused(t *testing.T) {
	for _, number := range []uint32{1, 64, 65, 1 << 31} {
		message := demandOf("")
		message.GetDemand().GetItems()[0].CustomerRef = number
		reader := &qlwire.NameReader{}
		if err := reader.Restore(message); err == nil {
			t.Errorf("number %d without a name: got no error, want one", number)
		}
	}
}
