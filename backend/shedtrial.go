package backend

import "time"

// shedTrial tells sheds that depend on the concurrency from those that do not. A
// backend server that is full sheds less when fewer calls run. One that is in trouble
// may shed a fraction of its calls at any concurrency: cutting the limit then gains
// nothing, and the few calls that are left wait in the gate.
//
// A trial starts with the first cut. Cuts follow as long as calls are shed. When the
// limit has reached a small fraction of the ceiling and the backend server still sheds
// as large a fraction of the calls as before, the limit of before is restored, and
// sheds are ignored for a pause.
type shedTrial struct {
	active      bool
	limitBefore float64   // limit before the first cut
	ratioBefore float64   // fraction of calls shed before the first cut
	bottomSince time.Time // when the limit reached the floor; zero before
	calls       int       // calls started since, that were answered or shed
	sheds       int       // calls among them that were shed

	ratio       float64 // moving average of the fraction of calls that are shed
	refutations int     // trials that restored the limit
	ignoreUntil time.Time
	ignoreLimit time.Time     // latest end of an extended pause; zero when the pause is not extended
	floorRatio  float64       // fraction of the calls that was shed at the floor
	pauseRatio  float64       // fraction of the calls shed in the pause
	pauseCalls  float64       // calls in the pause
	pause       time.Duration // pause after the last trial that restored the limit
}

const (
	shedTrialFloorFraction = 0.125           // fraction of the ceiling at which a trial is decided
	shedTrialCalls         = 32              // calls at the floor that decide a trial
	minPointlessRatio      = 0.06            // smallest fraction of shed calls at the floor that refutes the cuts
	keptShedFraction       = 0.5             // smallest fraction of the former shed ratio, at the floor, that refutes the cuts
	shedRatioWeight        = 1.0 / 32        // weight of one call in the moving average of the shed ratio
	firstShedPause         = 4 * time.Second // pause after the first refuted trial; doubles with each further one
	maxShedPause           = 32 * time.Second
	shedPauseReset         = 10 * time.Second // time without a trial after a pause that resets the pause
	floorRatioRise         = 0.3              // rise of the shed ratio from the floor to the pause up to which sheds count as independent of the concurrency; over three standard deviations for shedTrialCalls
	pauseRatioRise         = 0.25             // rise of the shed ratio that ends an extended pause; four standard deviations of the moving average
	endedTrialFraction     = 0.5              // fraction of limitBefore above which a trial at the floor ends: the cuts have helped
)

// ignores reports whether sheds are ignored at now. A pause is extended, up to
// maxShedPause, while calls are shed at about the ratio that cuts did not reduce:
// another trial would show the same, and calls would wait during it.
func (s *shedTrial) ignores(now time.Time) bool {
	return now.Before(s.ignoreUntil) || now.Before(s.ignoreLimit)
}

// inPause counts a call of the pause, or ends the extension of the pause when the shed
// ratio is no longer the one that cuts did not reduce.
func (s *shedTrial) inPause(now time.Time, shed bool) {
	switch {
	case s.ignoreLimit.IsZero():
	case now.Before(s.ignoreUntil):
		s.pauseCalls++
		x := 0.0
		if shed {
			x = 1
		}
		s.pauseRatio += (x - s.pauseRatio) / s.pauseCalls
	case s.ratio < minPointlessRatio, s.pauseRatio > s.floorRatio+floorRatioRise, s.ratio > s.pauseRatio+pauseRatioRise:
		s.ignoreLimit = time.Time{}
	}
}

// cut records that the limit was cut from before.
func (s *shedTrial) cut(now time.Time, before float64, atFloor bool) {
	if !s.active {
		if s.pause > 0 && now.Sub(s.ignoreUntil) > shedPauseReset {
			s.pause = 0
		}
		*s = shedTrial{active: true, limitBefore: before, ratioBefore: s.ratio, ratio: s.ratio, pause: s.pause, refutations: s.refutations}
	}
	if atFloor && s.bottomSince.IsZero() {
		s.bottomSince = now
	}
}

// refuted reports whether the calls at the floor show that the cuts did not reduce the
// sheds.
func (s *shedTrial) refuted() bool {
	ratio := float64(s.sheds) / float64(s.calls)
	return ratio >= minPointlessRatio && ratio >= keptShedFraction*s.ratioBefore
}

func (l *Limiter) shedTrialFloor() float64 {
	return max(minLimit, shedTrialFloorFraction*float64(l.cfg.ceiling()))
}

// evaluateShedTrial records a call that was answered or shed, and ends the trial when
// it is decided.
func (l *Limiter) evaluateShedTrial(now, started time.Time, shed bool) {
	s := &l.shedTrial
	s.ratio -= shedRatioWeight * s.ratio
	if shed {
		s.ratio += shedRatioWeight
	}
	s.inPause(now, shed)
	if !s.active {
		return
	}
	if l.limit > endedTrialFraction*s.limitBefore && l.limit > l.shedTrialFloor()+1 && now.Sub(l.lastCut) > l.cfg.Window {
		s.active = false
		return
	}
	if s.bottomSince.IsZero() || started.Before(s.bottomSince) {
		return
	}
	s.calls++
	if shed {
		s.sheds++
	}
	if s.calls < shedTrialCalls {
		return
	}
	s.active = false
	if s.refuted() {
		s.refutations++
		l.limit = min(l.maxLimit, max(l.limit, s.limitBefore))
		l.knee = l.limit
		s.pause = min(maxShedPause, max(firstShedPause, 2*s.pause))
		s.ignoreUntil = now.Add(s.pause)
		s.ignoreLimit = now.Add(maxShedPause)
		s.floorRatio, s.pauseRatio, s.pauseCalls = float64(s.sheds)/float64(s.calls), 0, 0
	}
}
