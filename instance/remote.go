package instance

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/link"
	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/wire"
)

// sendRemote sends one attempt to the daemon of ep and reads its answer.
func (d *Daemon) sendRemote(ctx context.Context, ep service.Endpoint, out *outgoing) (*answer, *failure) {
	s, err := d.links.OpenStream(ctx, ep.Peer)
	if err != nil {
		e := request.NewNotRunError(request.ReasonUnreachable, "daemon "+ep.Peer+" cannot be reached, start it or wait until its endpoint expires")
		e.Cause = err
		return nil, &failure{err: e, transport: true}
	}
	if err := s.Write(&wire.Frame{Kind: &wire.Frame_Call{Call: out.head}}); err != nil {
		_ = s.Close()
		return nil, linkFailure(ctx, err)
	}
	return d.readAnswer(ctx, s, out)
}

// readAnswer waits for the head of the answer. It sends the body when the gate
// asks for it.
func (d *Daemon) readAnswer(ctx context.Context, s *link.Stream, out *outgoing) (*answer, *failure) {
	var sent chan struct{}
	release := func() {
		_ = s.Close()
		if sent != nil {
			<-sent
		}
	}
	for {
		f, err := s.Read()
		if err != nil {
			release()
			return nil, linkFailure(ctx, err)
		}
		switch k := f.Kind.(type) {
		case *wire.Frame_Proceed:
			if sent == nil && out.head.BodyFollows {
				sent = make(chan struct{})
				go sendBody(s, out.body.reader(), sent)
			}
		case *wire.Frame_Answer:
			return d.handleAnswer(ctx, s, k.Answer, release)
		default:
			release()
			return nil, linkFailure(ctx, eris.New("unexpected frame kind instead of an answer"))
		}
	}
}

// sendBody sends the body while readAnswer waits for the answer, because a
// backend server may answer before it has read the whole body.
func sendBody(s *link.Stream, body io.Reader, sent chan<- struct{}) {
	defer close(sent)
	if copyChunks(s, body) != nil {
		_ = s.Close()
	}
}

func (d *Daemon) handleAnswer(ctx context.Context, s *link.Stream, h *wire.AnswerHead, release func()) (*answer, *failure) {
	if err := errorOf(h); err != nil {
		release()
		return nil, &failure{err: err, head: h}
	}
	if err := wire.CheckAnswer(h, func(name string) string { return name }); err != nil {
		release()
		return nil, linkFailure(ctx, err)
	}
	if !h.BodyFollows {
		release()
		return newAnswer(h, nil, func(bool) {}), nil
	}
	return newAnswer(h, &frameReader{src: s}, func(bool) { release() }), nil
}

// linkFailure returns the failure for an error of a link. A call that was never
// sent is certainly not run. In all other cases, a broken connection, a
// deadline or a cancellation, the outcome is unknown.
func linkFailure(ctx context.Context, err error) *failure {
	var notSent *link.NotSentError
	if eris.As(err, &notSent) {
		e := request.NewNotRunError(request.ReasonUnreachable, "the call could not be handed over")
		e.Cause = err
		return &failure{err: e, transport: true}
	}
	silent := eris.Is(err, link.ErrSilent) // the error of a call that timed out on a silent connection may wrap both
	switch {
	case !silent && (eris.Is(ctx.Err(), context.DeadlineExceeded) || eris.Is(err, context.DeadlineExceeded)):
		return &failure{err: request.NewUnknownError(request.ReasonDeadline, "no answer came in time, the work may have been done", err)}
	case !silent && ctx.Err() != nil:
		return &failure{err: request.NewUnknownError(request.ReasonCancelled, "the caller went away", err)}
	default:
		return &failure{
			err:       request.NewUnknownError(request.ReasonBroken, "the connection between two daemons broke after the call was sent", err),
			transport: true,
		}
	}
}

// ServeCall implements link.Handler. It serves a call from another daemon.
func (d *Daemon) ServeCall(ctx context.Context, s *link.Stream, first *wire.Frame) {
	k, ok := first.Kind.(*wire.Frame_Call)
	if !ok {
		return // the stream is closed: its first frame must be a call
	}
	in := &incoming{head: k.Call, call: callOf(k.Call, d.now())}
	in.body = func() (io.Reader, error) {
		if !k.Call.BodyFollows {
			return (&upload{inline: k.Call.Body}).reader(), nil
		}
		if err := s.Write(&wire.Frame{Kind: &wire.Frame_Proceed{Proceed: &wire.Proceed{}}}); err != nil {
			return nil, request.NewNotRunError(request.ReasonCancelled, "the sender of the body went away")
		}
		return &frameReader{src: s}, nil
	}
	ans, fail := d.runLocal(ctx, in)
	if fail != nil {
		_ = s.Write(&wire.Frame{Kind: &wire.Frame_Answer{Answer: fail.head}})
		return
	}
	ans.close(d.writeAnswer(s, ans))
}

// writeAnswer sends an answer and reports whether all of it was sent.
func (d *Daemon) writeAnswer(s *link.Stream, ans *answer) bool {
	head := &wire.Frame{Kind: &wire.Frame_Answer{Answer: ans.head}}
	if !ans.head.BodyFollows {
		return s.Write(head) == nil
	}
	return s.Write(head) == nil && copyChunks(s, ans.body) == nil
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
