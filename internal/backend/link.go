package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/internal/watermark"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// Limits of a status link.
const (
	// reconnectWait is the delay before a lost link is reopened.
	reconnectWait = 100 * time.Millisecond
	// linkTimeout bounds the wait for data and for a write, after which the link is reopened. It is longer
	// than several TCP retransmissions.
	linkTimeout = 3 * time.Second
	// maxOutstanding bounds the unanswered requests. Further requests are dropped.
	maxOutstanding = 8
)

// Link is the status link to one backend server. It is not used for statements.
type Link struct {
	target      Target
	credentials Credentials
	application string
	emit        func(watermark.Event)
	requests    chan watermark.RoundID
}

// NewLink returns a Link that Run opens. emit is called from the goroutines of the link with the events of
// package watermark: opened, answered, notified and lost.
func NewLink(t Target, c Credentials, application string, emit func(watermark.Event)) *Link {
	return &Link{
		target: t, credentials: c, application: application, emit: emit,
		requests: make(chan watermark.RoundID, maxOutstanding),
	}
}

// RequestStatus queues a status request. It does nothing if too many requests are queued.
func (l *Link) RequestStatus(r watermark.RoundID) {
	select {
	case l.requests <- r:
	default:
	}
}

// Run keeps the link open until ctx ends and reopens it after a loss.
func (l *Link) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c, err := Open(ctx, l.target, l.credentials, l.application); err == nil {
			l.serve(ctx, c)
			l.emit(watermark.LinkLost{Server: l.target.Server})
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectWait):
		}
	}
}

// serve runs the link over one connection until the connection fails.
func (l *Link) serve(ctx context.Context, c *Conn) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		<-ctx.Done()
		c.Close()
	}()
	l.dropRequests()
	if err := l.listen(c); err != nil {
		return
	}
	l.emit(watermark.LinkOpened{Server: l.target.Server})
	expected := make(chan watermark.RoundID, maxOutstanding)
	go func() {
		defer stop()
		l.write(ctx, c, expected)
	}()
	l.read(c, expected)
}

// dropRequests drops the requests of rounds that began before the link was open.
func (l *Link) dropRequests() {
	for {
		select {
		case <-l.requests:
		default:
			return
		}
	}
}

// listen subscribes to notifications of the server's log position.
func (l *Link) listen(c *Conn) error {
	c.SetDeadline(time.Now().Add(linkTimeout))
	return c.execute("LISTEN group_position")
}

// write sends the queued requests. It passes the round of each to expected.
func (l *Link) write(ctx context.Context, c *Conn, expected chan<- watermark.RoundID) {
	query := &pgproto3.Query{String: "SELECT * FROM group_status()"}
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-l.requests:
			select {
			case expected <- r:
			default:
				continue // too many unanswered requests
			}
			b, err := query.Encode(nil)
			if err != nil {
				return
			}
			if err := c.net.SetWriteDeadline(time.Now().Add(linkTimeout)); err != nil {
				return
			}
			if _, err := c.net.Write(b); err != nil {
				return
			}
		}
	}
}

// read converts responses and notifications to events. Responses arrive in the order of the requests.
func (l *Link) read(c *Conn, expected <-chan watermark.RoundID) {
	var columns []string
	var report watermark.Report
	answered := false
	for {
		c.SetDeadline(time.Now().Add(linkTimeout))
		m, err := c.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.NotificationResponse:
			if at, err := position.Parse(m.Payload); err == nil && m.Channel == "group_position" {
				l.emit(watermark.PositionAdvanced{Server: l.target.Server, At: at})
			}
		case *pgproto3.RowDescription:
			columns = columnNames(columns[:0], m)
		case *pgproto3.DataRow:
			report, err = parseReport(columns, m.Values)
			if err != nil {
				return
			}
			answered = true
		case *pgproto3.ReadyForQuery:
			select {
			case r := <-expected:
				if answered {
					l.emit(watermark.StatusReceived{Server: l.target.Server, Round: r, Report: report})
				}
			default:
				return // a response without a request: responses can no longer be matched
			}
			answered = false
		}
	}
}

func columnNames(columns []string, m *pgproto3.RowDescription) []string {
	for _, f := range m.Fields {
		columns = append(columns, string(f.Name))
	}
	return columns
}

// parseReport parses a row of group_status.
func parseReport(columns []string, values [][]byte) (watermark.Report, error) {
	var r watermark.Report
	for i, column := range columns {
		if i >= len(values) {
			break
		}
		text := string(values[i])
		var err error
		switch column {
		case "role":
			r.Role = watermark.Role(text)
		case "history":
			r.History, err = position.ParseHistory(text)
		case "term":
			err = parseNumber(text, (*uint64)(&r.Follows))
		case "last_term":
			err = parseNumber(text, (*uint64)(&r.At.Term))
		case "pos":
			err = parseNumber(text, (*uint64)(&r.At.Offset))
		case "promised":
			err = parseNumber(text, (*uint64)(&r.Promised))
		}
		if err != nil {
			return r, errors.Wrapf(err, "backend: group_status, column %s", column)
		}
	}
	// The term in which the log ends may have no record yet. Without this adjustment, a session
	// floor on a superseded branch would be covered only after the next write.
	if n := len(r.History); n > 0 {
		r.At.Term = max(r.At.Term, r.History[n-1].Term)
	}
	return r, nil
}

func parseNumber(text string, to *uint64) error {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	*to = n
	return nil
}

// ParsePosition parses the position in a row of group_status.
func ParsePosition(columns, values []string) (position.Position, error) {
	raw := make([][]byte, len(values))
	for i, value := range values {
		raw[i] = []byte(value)
	}
	r, err := parseReport(columns, raw)
	if err == nil && r.At.IsZero() {
		err = errors.New("backend: group_status without a position")
	}
	return r.At, err
}
