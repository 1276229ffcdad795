package standin

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	startupTimeout  = 5 * time.Second // for the whole startup exchange
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
)

// startup performs the startup exchange. It returns false if the connection is to be closed.
func (c *session) startup() bool {
	if err := c.conn.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return false
	}
	m, ok := c.startupMessage()
	if !ok {
		return false
	}
	if err := c.login(m); err != nil {
		c.reject(err)
		return false
	}
	for _, p := range [][2]string{
		{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"}, {"TimeZone", "UTC"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}, {"is_superuser", "off"}, {"application_name", c.applicationName},
		{"session_authorization", c.user},
	} {
		c.proto.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.proto.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return false
	}
	c.proto.Lock()
	defer c.proto.Unlock()
	return c.sendReady()
}

// reject sends the error for which the connection is closed.
func (c *session) reject(err error) {
	c.proto.Send(errorResponse(err, "FATAL"))
	if err := c.proto.Flush(); err != nil {
		c.server.log.WithError(err).Debug("sending the rejection of a connection failed")
	}
}

// startupMessage receives the startup message. It declines encryption requests before it and executes cancel
// requests, after which it returns false.
func (c *session) startupMessage() (*pgproto3.StartupMessage, bool) {
	for {
		m, err := c.proto.ReceiveStartupMessage()
		if err != nil {
			return nil, false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		case *pgproto3.CancelRequest:
			c.server.cancelStatement(m.ProcessID, m.SecretKey)
			return nil, false
		case *pgproto3.StartupMessage:
			return m, true
		default:
			return nil, false
		}
	}
}

func (c *session) login(m *pgproto3.StartupMessage) error {
	c.user, c.database, c.applicationName = m.Parameters["user"], m.Parameters["database"], m.Parameters["application_name"]
	for name, value := range m.Parameters {
		switch name {
		case "user", "database", "options", "replication":
		default:
			c.settings[strings.ToLower(name)] = value
		}
	}
	if err := c.server.register(c); err != nil {
		return err
	}
	if open := c.server.config.Open; open > 0 {
		time.Sleep(open)
	}
	if c.server.config.Password != "" {
		if err := c.authenticate(); err != nil {
			return err
		}
	}
	if c.server.config.User != "" && c.user != c.server.config.User {
		return errBadPassword(c.user)
	}
	c.proto.Send(&pgproto3.AuthenticationOk{})
	return nil
}

// authenticate verifies the client's password with SCRAM-SHA-256.
func (c *session) authenticate() error {
	c.proto.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := c.expectAuth(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	m, err := c.proto.Receive()
	if err != nil {
		return err
	}
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || first.AuthMechanism != scramMechanism {
		return sqlErrorf(stateBadProtocol, "the client did not choose %s", scramMechanism)
	}
	conversation, err := c.newSCRAMConversation()
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return errBadPassword(c.user)
	}
	c.proto.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := c.expectAuth(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if m, err = c.proto.Receive(); err != nil {
		return err
	}
	proof, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return sqlErrorf(stateBadProtocol, "unexpected message %T", m)
	}
	final, err := conversation.Step(string(proof.Data))
	if err != nil || !conversation.Valid() {
		return errBadPassword(c.user)
	}
	c.proto.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

func (c *session) expectAuth(authType uint32) error {
	return errors.CombineErrors(c.proto.SetAuthType(authType), c.proto.Flush())
}

// newSCRAMConversation prepares the server side of the exchange. The user name in the exchange is ignored, as
// in PostgreSQL.
func (c *session) newSCRAMConversation() (*scram.ServerConversation, error) {
	client, err := scram.SHA256.NewClient("", c.server.config.Password, "")
	if err != nil {
		return nil, err
	}
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(c.secret), Iters: scramIterations})
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}

func errBadPassword(user string) error {
	return sqlErrorf(stateBadPassword, "password authentication failed for user %q", user)
}
