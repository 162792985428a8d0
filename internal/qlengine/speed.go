package qlengine

import "time"

const (
	// _speedWeight is the weight of one observation in the learned speed, and
	// _minSpeedObservations how many there must be before it is used.
	_speedWeight          = 1.0 / 300
	_minSpeedObservations = 60
	// _speedTTL is how long the learned speed is used after the last observation.
	// Without the limit, a speed that is far too low would admit no request, and so
	// never be corrected.
	_speedTTL = 5 * time.Second
	// _maxSpeedRatio bounds the learned values relative to the initial ones.
	_maxSpeedRatio = 20
	// _minTokenDeviation is the standard deviation of the prompts' tokens, relative to
	// their mean, from which on the regression can tell prefill from the rest.
	_minTokenDeviation = 0.1
	// _maxObservationRatio bounds one observed time relative to the expected one,
	// so that single requests that were held up have little effect.
	_maxObservationRatio = 4
)

// Speed is the usual speed of a group of engines, learned from first events: the
// prefill time of a token, and the time to the first event without prefill relative
// to the model's. It starts from the speed that the requirements state. The
// slowness of a single engine is relative to it. It is not safe for concurrent use.
type Speed struct {
	tokenPrefill time.Duration
	latencyScale float64
	observedAt   time.Duration
	count        int
	// The means of the observations: prefilled tokens, time to the first event, the
	// model's time without prefill, and products for the regression.
	meanTokens        float64
	meanTook          float64
	meanDecode        float64
	meanTokensSquared float64
	meanTokensTook    float64
	// busyCount counts observations of engines that had further prompts to prefill,
	// with the means of the tokens of one prompt and the time that it took.
	busyCount  int
	busyTokens float64
	busyTook   float64
}

// NewSpeed returns the initial speed.
func NewSpeed() *Speed {
	return &Speed{
		tokenPrefill: _tokenPrefillTime,
		latencyScale: 1,
	}
}

// TokenPrefill returns the prefill time of a token.
func (s *Speed) TokenPrefill() time.Duration {
	return s.tokenPrefill
}

// LatencyScale returns the time to the first event without prefill, relative to that
// of the model.
func (s *Speed) LatencyScale() float64 {
	return s.latencyScale
}

// PrefillTime returns the prefill time of the tokens.
func (s *Speed) PrefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * s.tokenPrefill
}

// Expire returns to the initial speed if there was no observation for a while.
func (s *Speed) Expire(now time.Duration) {
	if s.count+s.busyCount > 0 && now-s.observedAt > _speedTTL {
		*s = *NewSpeed()
	}
}

// Known reports whether the speed was learned.
func (s *Speed) Known() bool {
	return max(s.count, s.busyCount) >= _minSpeedObservations
}

// ObserveBusy learns from a prompt that was prefilled right after another one: its
// tokens, and the time between the two first events. Engines that are never idle show
// their speed only in this way.
func (s *Speed) ObserveBusy(now time.Duration, tokens int, took time.Duration) {
	s.observedAt = now
	s.busyCount++
	weight := max(_speedWeight, 1/float64(s.busyCount))
	s.busyTokens += weight * (float64(tokens) - s.busyTokens)
	s.busyTook += weight * (float64(took) - s.busyTook)
	if s.busyCount >= _minSpeedObservations && s.count < _minSpeedObservations && s.busyTokens > 0 {
		s.setTokenPrefill(s.busyTook / s.busyTokens)
	}
}

func (s *Speed) setTokenPrefill(nanoseconds float64) {
	limited := min(max(nanoseconds, float64(_tokenPrefillTime)/_maxSpeedRatio), float64(_tokenPrefillTime)*_maxSpeedRatio)
	s.tokenPrefill = time.Duration(limited)
}

// Observe learns from a request whose prefill began when it was placed: the number of
// tokens that were prefilled for it, the model's time to the first event without
// prefill, and the observed time to the first event.
func (s *Speed) Observe(now time.Duration, tokens int, decode, took time.Duration) {
	expected := float64(s.PrefillTime(tokens)) + float64(decode)*s.latencyScale
	observed := float64(took)
	if s.count >= _minSpeedObservations {
		observed = min(max(observed, expected/_maxObservationRatio), expected*_maxObservationRatio)
	}
	s.observedAt = now
	s.count++
	weight := max(_speedWeight, 1/float64(s.count))
	x := float64(tokens)
	s.meanTokens += weight * (x - s.meanTokens)
	s.meanTook += weight * (observed - s.meanTook)
	s.meanDecode += weight * (float64(decode) - s.meanDecode)
	s.meanTokensSquared += weight * (x*x - s.meanTokensSquared)
	s.meanTokensTook += weight * (x*observed - s.meanTokensTook)
	if s.count >= _minSpeedObservations {
		s.fit()
	}
}

// fit computes the speed by linear regression of the observed times on the tokens.
func (s *Speed) fit() {
	variance := s.meanTokensSquared - s.meanTokens*s.meanTokens
	minDeviation := _minTokenDeviation * s.meanTokens
	if variance <= minDeviation*minDeviation || s.meanDecode <= 0 {
		// The prompts are too similar to tell the two parts apart.
		return
	}
	perToken := (s.meanTokensTook - s.meanTokens*s.meanTook) / variance
	s.setTokenPrefill(perToken)
	scale := (s.meanTook - float64(s.tokenPrefill)*s.meanTokens) / s.meanDecode
	s.latencyScale = min(max(scale, 1.0/_maxSpeedRatio), _maxSpeedRatio)
}
