package link

import (
	"time"

	"github.com/hashicorp/yamux"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// refusedRetryAfterMs is the time, in milliseconds, after which the opener of a refused
// stream may retry.
const refusedRetryAfterMs = 100

// serve passes a stream that the peer has opened to the handler. It refuses the
// stream during shutdown and when MaxStreams streams are already being served.
func (l *Links) serve(s *session, y *yamux.Stream) {
	if l.refusing.Load() {
		l.refuseStream(y, request.ReasonShutdown)
		return
	}
	if l.serving.Add(1) > int64(l.cfg.MaxStreams) {
		l.serving.Add(-1)
		l.refuseStream(y, request.ReasonBusy)
		return
	}
	st := newIncoming(s, y)
	l.wg.Add(1)
	err := l.pool.Go(func() {
		defer l.wg.Done()
		defer l.serving.Add(-1)
		defer st.Close() //nolint:errcheck // always nil
		l.serveStream(st)
	})
	if err != nil {
		l.wg.Done()
		l.serving.Add(-1)
		l.refuseStream(y, request.ReasonShutdown)
		_ = st.Close()
	}
}

func (l *Links) serveStream(st *Stream) {
	st.setReadDeadline(time.Now().Add(l.cfg.DialTimeout))
	first, err := wire.Read(st.mux)
	if err != nil {
		return
	}
	st.setReadDeadline(time.Time{})
	l.count.served.Add(1)
	l.wg.Add(1)
	st.ended = isLast(first)
	go st.readAheadLoop(st.ended)
	l.handler.ServeCall(st.ctx, st, first)
}

// refuseStream answers a stream "not run" without reading it, and closes it.
func (l *Links) refuseStream(y *yamux.Stream, reason request.Reason) {
	l.count.streamsRefused.Add(1)
	answer := &wire.AnswerHead{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: string(reason), RetryAfterMs: refusedRetryAfterMs}
	_ = wire.Write(y, &wire.Frame{Kind: &wire.Frame_Answer{Answer: answer}})
	_ = y.Close()
}
