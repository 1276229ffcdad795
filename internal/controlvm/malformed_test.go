package controlvm_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/dynamicpb"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	_ "fireflyrudder.example/fireflyrudder/internal/wire" // registers the services
)

// messageGenerator fills messages with values that no sender of this build would combine: fields missing, elements
// without content, numbers at their limits. It is deterministic for a seed.
type messageGenerator struct {
	rand  *rand.Rand
	texts []string // values of text fields, some of them meaningful to the receiver
}

// maxDepth is the depth of the generated messages.
const maxDepth = 6

func (g *messageGenerator) fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if depth >= maxDepth || g.rand.IntN(4) == 0 || !g.chooses(m, f) {
			continue
		}
		switch {
		case f.IsMap():
		case f.IsList():
			list := m.Mutable(f).List()
			for range g.rand.IntN(3) {
				list.Append(g.value(list.NewElement(), f, depth))
			}
		default:
			m.Set(f, g.value(m.NewField(f), f, depth))
		}
	}
}

// chooses reports whether to set a field: of the fields of which only one can be set, a random one.
func (g *messageGenerator) chooses(m protoreflect.Message, f protoreflect.FieldDescriptor) bool {
	one := f.ContainingOneof()
	return one == nil || m.WhichOneof(one) == nil && g.rand.IntN(one.Fields().Len()) == 0
}

// value returns a value for a field; empty is a new value of its type.
func (g *messageGenerator) value(empty protoreflect.Value, f protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	numbers := []uint64{0, 1, 2, 3, 7, 1 << 31, 1<<64 - 1, 1 << 63}
	n := numbers[g.rand.IntN(len(numbers))]
	switch f.Kind() {
	case protoreflect.MessageKind:
		g.fill(empty.Message(), depth+1)
		return empty
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(g.texts[g.rand.IntN(len(g.texts))])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(g.texts[g.rand.IntN(len(g.texts))]))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(n%2 == 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(n % 9))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(n)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n))
	}
	return empty
}

// call sends one generated request of a method. It returns the request and the error that answers it.
func (g *messageGenerator) call(ctx context.Context, conn *grpc.ClientConn, service string, method protoreflect.MethodDescriptor) (proto.Message, error) {
	request, reply := dynamicpb.NewMessage(method.Input()), dynamicpb.NewMessage(method.Output())
	g.fill(request, 0)
	ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	name := "/" + service + "/" + string(method.Name())
	if !method.IsStreamingServer() {
		return request, conn.Invoke(ctx, name, request, reply)
	}
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, name)
	if err == nil && stream.SendMsg(request) == nil && stream.CloseSend() == nil {
		err = stream.RecvMsg(reply)
	}
	return request, err
}

// TestMalformedCallsAreSurvived guards against a request that ends the whole process, or that makes it fail at each start
// because it was stored.
func TestMalformedCallsAreSurvived(t *testing.T) {
	for _, service := range []string{"fireflyrudder.Control", "fireflyrudder.Voter"} {
		t.Run(service, func(t *testing.T) {
			d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(service))
			require.NoError(t, err)
			sendMalformed(t, d.(protoreflect.ServiceDescriptor))
		})
	}
}

// sendMalformed sends generated requests of each method of a service to a control VM, which must live and restart.
func sendMalformed(t *testing.T, service protoreflect.ServiceDescriptor) {
	s := newTestVM(t)
	s.options.SnapshotEvery = 50
	s.start()
	c, ctx := client(t, s)
	accept(t, ctx, c, "first", 0)
	status, err := c.Status(ctx)
	require.NoError(t, err)
	conn, err := controlvm.Dial(s.options.Control.Listen, nil)
	require.NoError(t, err)
	defer conn.Close()
	texts := []string{"", "a", "account-first", s.vm.Identity(), s.options.Control.Listen, status.GetVoters()[0].GetIdentity(), "\x00"}
	for seed := range uint64(malformedSeeds) {
		g := &messageGenerator{rand: rand.New(rand.NewPCG(seed, 0)), texts: texts}
		request, err := g.call(ctx, conn, string(service.FullName()), service.Methods().Get(g.rand.IntN(service.Methods().Len())))
		require.NotEqual(t, codes.Internal, grpcstatus.Code(err), "a panic while handling %v", request)
		select {
		case err := <-s.ended:
			s.ended <- err
			require.Failf(t, "the control VM ended", "seed %d: %v after %v", seed, err, request)
		default:
		}
		if seed%100 == 99 {
			s.stop()
			s.start()
		}
	}
}

// malformedSeeds is the number of requests for each service.
const malformedSeeds = 1500
