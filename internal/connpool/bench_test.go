package connpool_test

import (
	"testing"
	"time"

	"fireflyrudder.example/fireflyrudder/internal/connpool"
	"fireflyrudder.example/fireflyrudder/internal/operation"
)

// BenchmarkRun measures one statement at an instance that answers at once, without an evacuation or a cold instance.
func BenchmarkRun(b *testing.B) {
	i := &instance{}
	p := connpool.New(connpool.Options{Server: "i", Dial: i.dial, Now: time.Now, Slots: 64, Connections: 64})
	b.ReportAllocs()
	st := operation.Statement{Kind: operation.Write}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h := p.NewHandle("a", 1, true)
			_, err := h.Run(b.Context(), connpool.Limit{Until: time.Now().Add(time.Second)}, nil, st)
			if err != nil {
				b.Error(err)
			}
			h.Release()
		}
	})
}
