package qlmemory

import (
	"testing"

	"github.com/juju/errors"
)

func TestSumOfHoldingsIsBounded(t *testing.T) {
	account := NewAccount(100)
	first, second := account.NewHolding(10), account.NewHolding(10)
	for _, step := range []struct {
		name    string
		holding *Holding
		bytes   int
		want    error
		used    int64
	}{
		{name: "within the allowance", holding: first, bytes: 10},
		{name: "beyond it", holding: first, bytes: 90, used: 80},
		{name: "all", holding: second, bytes: 30, used: 100},
		{name: "too much", holding: second, bytes: 31, want: ErrUsedUp, used: 100},
		{name: "less", holding: first, bytes: 20, used: 30},
		{name: "room again", holding: second, bytes: 100, used: 100},
	} {
		if err := step.holding.Set(step.bytes); !errors.Is(err, step.want) || account.Used() != step.used {
			t.Errorf("%s: got %v, %d used, want %v, %d", step.name, err, account.Used(), step.want, step.used)
		}
	}
	first.Release()
	second.Release()
	if got := account.Used(); got != 0 {
		t.Errorf("after the release: got %d used, want 0", got)
	}
}
