package controlvm_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/controlvm"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// message returns a message with one record of a size in bytes.
func message(size int) *wire.VoterMessage {
	e := &wire.Entry{Entry: &wire.Entry_Forget{Forget: strings.Repeat("x", size)}}
	r := &wire.LogRecord{Index: 1, Body: &wire.LogRecord_Entry{Entry: e}}
	return &wire.VoterMessage{Body: &wire.VoterMessage_Append{Append: &wire.AppendRecords{Records: []*wire.LogRecord{r}}}}
}

// TestCallsAreBoundedInBytes guards against a call that joins all messages that wait for a slow control VM: it is larger than
// the memory and the time that both have for it.
func TestCallsAreBoundedInBytes(t *testing.T) {
	var messages []*wire.VoterMessage
	for n := range 60 {
		messages = append(messages, message([]int{10, 900_000, 400_000}[n%3]))
	}
	messages = append(messages, message(5_000_000), message(10))
	sizes := controlvm.CallSizes(messages)
	total := 0
	for _, size := range sizes {
		total += size
		require.True(t, size <= 2<<20+100 || size < 5_001_000 && size > 5_000_000, size)
	}
	require.Greater(t, total, 20*1_300_010+5_000_010)
	require.Len(t, controlvm.CallSizes(messages[:1]), 1)
	require.Empty(t, controlvm.CallSizes(nil))
}
