package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client received.
type reply struct {
	status int // 0 if there was no answer
	body   []byte
	whole  bool // the answer ended as its framing says
	signed bool
	err    error
}

func (r reply) String() string {
	return fmt.Sprintf("status %d, signed %v, whole %v, %d bytes, error %v", r.status, r.signed, r.whole, len(r.body), r.err)
}

// head returns the head of a client's request without its framing.
func head(method, path, id, key string, deadlineMs int) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, id, deadlineMs)
	if key != "" {
		h += "X-Credential: " + key + "\r\n"
	}
	return h
}

func dial(address string) net.Conn {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	return c
}

// exchange sends a whole request on a new connection and reads the answer.
func exchange(address, text string, wait time.Duration) reply {
	c := dial(address)
	if c == nil {
		return reply{err: io.ErrClosedPipe}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, text); err != nil {
		return reply{err: err}
	}
	return readReply(bufio.NewReader(c))
}

func readReply(br *bufio.Reader) reply {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return reply{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, b, err == nil, resp.Header.Get("X-Server-Signature") != "", err}
}

// get sends a GET request.
func get(address, path, id, key string, deadlineMs int) reply {
	return exchange(address, head("GET", path, id, key, deadlineMs)+"\r\n", time.Duration(deadlineMs)*time.Millisecond+time.Second)
}

// trunc shortens a body for the record.
func trunc(b []byte) string { return string(b[:min(len(b), 60)]) }
