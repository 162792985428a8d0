package qlshed

import (
	"math/rand/v2"
	"time"
)

// The model of a small VM: processor time in seconds a second, and what a refusal, the
// start of a request and each tick of its stream cost, in seconds.
const (
	_modelProcessor   = 0.192
	_modelRefusal     = 40e-6
	_modelStart       = 300e-6
	_modelPerTick     = 20e-6
	_modelStreamTicks = 30
	_modelTick        = 50 * time.Millisecond
	// _modelSampleDelay is the age of measurements of the lag, in ticks.
	_modelSampleDelay = 3
)

// modelVM is a VM whose admitted requests cost processor time for as long as their streams
// last.
type modelVM struct {
	random  *rand.Rand
	shedder *Shedder
	tick    int
	// backlog is the processor time that is due, in seconds.
	backlog float64
	// lags holds the lag at each tick.
	lags []float64
	// streams holds the costs of a tick of the streams that began in each tick.
	streams [_modelStreamTicks]float64
}

func newModelVM(seed uint64) *modelVM {
	return &modelVM{
		random:  rand.New(rand.NewPCG(seed, 6)),
		shedder: New(),
	}
}

// lag returns how late the VM handles events, in seconds.
func (vm *modelVM) lag() float64 {
	return vm.backlog / _modelProcessor
}

// step plays one tick in which one customer sends requests at the rate, each of cost times
// the usual cost, and returns how many were admitted.
func (vm *modelVM) step(now time.Duration, rate int, cost float64) (admitted int) {
	vm.lags = append(vm.lags, vm.lag())
	measured := vm.lags[max(len(vm.lags)-1-_modelSampleDelay, 0)]
	vm.shedder.RecordLag(now, time.Duration(measured*float64(time.Second)))
	began := &vm.streams[vm.tick%_modelStreamTicks]
	*began = 0
	for range int(float64(rate) * _modelTick.Seconds()) {
		if !vm.shedder.Admit(now, "hot", vm.random.Float64()) {
			vm.backlog += _modelRefusal
			continue
		}
		admitted++
		vm.backlog += cost * _modelStart
		*began += cost * _modelPerTick
	}
	for _, perTick := range vm.streams {
		vm.backlog += perTick
	}
	vm.backlog = max(vm.backlog-_modelProcessor*_modelTick.Seconds(), 0)
	vm.tick++
	return admitted
}
