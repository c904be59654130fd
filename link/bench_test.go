package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"wisteriafold/wire"
)

func benchLinks(b *testing.B) (client *Links, server string) {
	b.Helper()
	var all [2]*Links
	for i := range all {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		cfg := Defaults()
		cfg.Hello = &wire.Hello{Instance: ln.Addr().String(), Incarnation: 1}
		all[i], err = New(cfg, &echo{})
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = all[i].Serve(ln) }()
		server = ln.Addr().String()
	}
	b.Cleanup(func() {
		for _, l := range all {
			_ = l.Close(context.Background())
		}
	})
	return all[0], server
}

// BenchmarkCall measures one call with a small body that is echoed over loopback TCP.
func BenchmarkCall(b *testing.B) {
	l, server := benchLinks(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := exchange(context.Background(), l, server, small("hello")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallParallel measures the same call from many goroutines over one session.
func BenchmarkCallParallel(b *testing.B) {
	l, server := benchLinks(b)
	b.ReportAllocs()
	var failed atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, _, err := exchange(context.Background(), l, server, small("hello")); err != nil {
				failed.Add(1)
			}
		}
	})
	if failed.Load() > 0 {
		b.Fatalf("%d calls failed", failed.Load())
	}
}
