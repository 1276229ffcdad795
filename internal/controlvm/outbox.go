package controlvm

import (
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/certificate"
	"fireflyrudder.example/fireflyrudder/internal/controllog"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Limits of the messages to one address. The control log repeats lost messages.
const (
	maxQueued              = 1024
	maxCallBytes           = 2 << 20                // of the messages in one call; a larger message is sent alone
	deliverTimeout         = 400 * time.Millisecond // bounds how long a frozen receiver delays later messages
	snapshotDeliverTimeout = 10 * time.Second       // bounds a delivery that contains a snapshot
	idleTimeout            = time.Minute            // after which an address without messages is removed
)

// outbox sends messages to the other control VMs, in order per address. It is safe for concurrent use.
type outbox struct {
	pair    *certificate.Reloader
	metrics *metrics

	mu     sync.Mutex
	queues map[string]*queue
	wake   chan struct{} // contains one token when a queue was added
}

// queue contains the messages to be sent to one address.
type queue struct {
	messages []*wire.VoterMessage
	wake     chan struct{} // contains one token when messages were added
	started  bool
}

func newOutbox(pair *certificate.Reloader, m *metrics) *outbox {
	return &outbox{pair: pair, metrics: m, queues: map[string]*queue{}, wake: make(chan struct{}, 1)}
}

// enqueue queues a message. It drops the message if the queue is full.
func (o *outbox) enqueue(s controllog.Send) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[s.Address]
	if q == nil {
		q = &queue{wake: make(chan struct{}, 1)}
		o.queues[s.Address] = q
		signal(o.wake)
	}
	if len(q.messages) >= maxQueued {
		o.metrics.dropped.Add(1)
		return
	}
	q.messages = append(q.messages, s.Message)
	signal(q.wake)
}

// signal puts a token into a channel with a buffer of one, unless there is one already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run starts one sender per address until the context ends.
func (o *outbox) run(ctx context.Context) error {
	var senders sync.WaitGroup
	defer senders.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		}
		o.mu.Lock()
		for address, q := range o.queues {
			if !q.started {
				q.started = true
				senders.Go(func() { o.sendLoop(ctx, address, q) })
			}
		}
		o.mu.Unlock()
	}
}

// sendLoop sends the messages of one queue. Each call delivers as many as maxCallBytes allows.
func (o *outbox) sendLoop(ctx context.Context, address string, q *queue) {
	conn, err := Dial(address, o.pair)
	if err != nil {
		return
	}
	defer io.Closer(conn).Close()
	client := wire.NewVoterClient(conn)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if o.removeIdle(address, q) {
				return
			}
		case <-q.wake:
			idle.Reset(idleTimeout)
			for messages := o.dequeue(q); len(messages) > 0; messages = o.dequeue(q) {
				o.send(ctx, client, messages)
			}
		}
	}
}

// dequeue removes and returns the messages of the next call.
func (o *outbox) dequeue(q *queue) []*wire.VoterMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, size := 0, 0
	for ; n < len(q.messages); n++ {
		size += proto.Size(q.messages[n])
		if n > 0 && size > maxCallBytes {
			break
		}
	}
	messages := q.messages[:n:n]
	if q.messages = q.messages[n:]; len(q.messages) == 0 {
		q.messages = nil
	}
	return messages
}

// removeIdle removes the queue of an address and reports true, unless messages are queued.
func (o *outbox) removeIdle(address string, q *queue) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(q.messages) > 0 {
		return false
	}
	delete(o.queues, address)
	return true
}

func (o *outbox) send(ctx context.Context, client wire.VoterClient, messages []*wire.VoterMessage) {
	limit := deliverTimeout
	for _, m := range messages {
		if m.GetInstall() != nil {
			limit = snapshotDeliverTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if _, err := client.Deliver(ctx, &wire.DeliverRequest{Messages: messages}); err != nil {
		o.metrics.undelivered.Add(int64(len(messages)))
		return
	}
	o.metrics.delivered.Add(int64(len(messages)))
}
