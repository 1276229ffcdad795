package caller

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"fireflyrudder.example/fireflyrudder/pkg/outcome"
)

// ParameterPrefix is the prefix of the run-time parameters of the proxy.
const ParameterPrefix = "fireflyrudder."

// PublicUser is the user name of clients without a key, which may use public routes only.
const PublicUser = "public"

// defaultKey is the key name if the user name contains only an account.
const defaultKey = "main"

// Limits of a connection.
const (
	// DefaultMaxMessage is the largest message accepted from a client, in bytes.
	DefaultMaxMessage = 16 << 20
	// DefaultStartupTimeout bounds TLS and authentication, so that silent connections do not accumulate.
	DefaultStartupTimeout = 10 * time.Second
	// DefaultWriteTimeout bounds one write to a client that does not read.
	DefaultWriteTimeout = 30 * time.Second
	// maxAuthMessage is the largest message accepted during authentication, in bytes.
	maxAuthMessage = 4 << 10
)

// Startup contains the parameters of a connection that the client requested.
type Startup struct {
	Account    string
	Key        string
	Route      string
	Parameters map[string]string // run-time parameters of the proxy, without ParameterPrefix
	Verifier   Verifier          // the verifier that the client's key matched; zero without a key
}

// IsPublic reports whether the client connected without a key, to use a public route.
func (s *Startup) IsPublic() bool {
	return s.Account == PublicUser
}

// CancelRequest is a request to cancel the statement that runs on another connection.
type CancelRequest struct {
	ProcessID uint32
	Secret    uint32
}

// Authorizer decides which clients may connect. It must be safe for concurrent use.
type Authorizer interface {
	// FindVerifier returns the verifier of the key, or false if there is none. It is not called for clients
	// without a key.
	FindVerifier(account, key string) (Verifier, bool)
	// Authorize is called after authentication. It returns nil if the client may use the route.
	Authorize(s *Startup) *outcome.Error
}

// Acceptor performs the startup of connections. Its fields must not change after the first Accept.
type Acceptor struct {
	TLS            *tls.Config // nil means that TLS is declined
	Authorizer     Authorizer
	Cancel         func(CancelRequest)
	MaxMessage     int           // bytes; 0 means DefaultMaxMessage
	StartupTimeout time.Duration // 0 means DefaultStartupTimeout
	WriteTimeout   time.Duration // 0 means DefaultWriteTimeout

	secret [32]byte // key of the verifiers for unknown users
}

// NewAcceptor returns an Acceptor with the default limits.
func NewAcceptor(a Authorizer, cancel func(CancelRequest), t *tls.Config) *Acceptor {
	acceptor := &Acceptor{
		TLS:            t,
		Authorizer:     a,
		Cancel:         cancel,
		MaxMessage:     DefaultMaxMessage,
		StartupTimeout: DefaultStartupTimeout,
		WriteTimeout:   DefaultWriteTimeout,
	}
	rand.Read(acceptor.secret[:]) //nolint:errcheck // documented to never fail
	return acceptor
}

// Accept performs the startup up to AuthenticationOk. It returns nil without an error for a connection that
// only sent a cancel request. On an error it closes the connection.
func (a *Acceptor) Accept(n net.Conn) (*Conn, error) {
	c, err := a.accept(n)
	if err != nil || c == nil {
		n.Close()
		return nil, err
	}
	return c, nil
}

func (a *Acceptor) accept(n net.Conn) (*Conn, error) {
	if err := n.SetDeadline(time.Now().Add(a.StartupTimeout)); err != nil {
		return nil, errors.Wrap(err, "caller: startup")
	}
	c := &Conn{net: n, in: pgproto3.NewBackend(n, nil), writeTimeout: a.WriteTimeout}
	message, err := a.readStartup(c)
	if err != nil || message == nil {
		return nil, err
	}
	if err := a.negotiate(c, message); err != nil {
		return nil, err
	}
	if refusal := parseStartup(&c.Startup, message.Parameters); refusal != nil {
		c.Fatal(refusal)
		return nil, refusal
	}
	if err := a.authenticate(c, message.Parameters["user"]); err != nil {
		return nil, err
	}
	c.in.SetMaxBodyLen(a.MaxMessage)
	if err := c.Send(&pgproto3.AuthenticationOk{}); err != nil {
		return nil, err
	}
	return c, errors.Wrap(c.net.SetDeadline(time.Time{}), "caller: startup")
}

// readStartup reads the startup packet and answers the requests for encryption before it. It passes a cancel
// request to Acceptor.Cancel and then returns nil.
func (a *Acceptor) readStartup(c *Conn) (*pgproto3.StartupMessage, error) {
	for range 3 { // GSS request, TLS request, startup packet
		message, err := c.in.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Wrap(err, "caller: startup packet")
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			if len(m.SecretKey) == 4 {
				a.Cancel(CancelRequest{ProcessID: m.ProcessID, Secret: binary.BigEndian.Uint32(m.SecretKey)})
			}
			return nil, nil
		case *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return nil, errors.Wrap(err, "caller: startup")
			}
		case *pgproto3.SSLRequest:
			if err := a.startTLS(c); err != nil {
				return nil, err
			}
		}
	}
	return nil, errors.New("caller: no startup packet after requests for encryption")
}

// startTLS answers a request for TLS. Unencrypted bytes after the request are dropped with the old reader, so
// data sent before the handshake is never treated as sent over TLS.
func (a *Acceptor) startTLS(c *Conn) error {
	if a.TLS == nil {
		_, err := c.net.Write([]byte{'N'})
		return errors.Wrap(err, "caller: startup")
	}
	if _, ok := c.net.(*tls.Conn); ok {
		return errors.New("caller: second request for TLS")
	}
	if _, err := c.net.Write([]byte{'S'}); err != nil {
		return errors.Wrap(err, "caller: startup")
	}
	t := tls.Server(c.net, a.TLS)
	if err := t.Handshake(); err != nil {
		return errors.Wrap(err, "caller: TLS")
	}
	c.net = t
	c.in = pgproto3.NewBackend(t, nil)
	return nil
}

// negotiate sends the supported protocol version to the client if it requested another version or
// protocol options, which are not supported.
func (a *Acceptor) negotiate(c *Conn, m *pgproto3.StartupMessage) error {
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if m.ProtocolVersion == pgproto3.ProtocolVersion30 && len(unknown) == 0 {
		return nil
	}
	return c.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0, UnrecognizedOptions: unknown})
}

// parseStartup parses the parameters of a startup packet.
func parseStartup(s *Startup, parameters map[string]string) *outcome.Error {
	user := parameters["user"]
	s.Account, s.Key, _ = strings.Cut(user, "/")
	if s.Key == "" {
		s.Key = defaultKey
	}
	s.Route = parameters["database"]
	if s.Route == "" {
		s.Route = s.Account
	}
	if s.Account == "" {
		return outcome.New(outcome.AccessDenied, "no user was given", "connect as account/key")
	}
	if r := parameters["replication"]; r != "" && r != "false" && r != "off" && r != "0" && r != "no" {
		return outcome.New(outcome.Unsupported, "replication connections are not carried", "connect to the backend server")
	}
	if e := parameters["client_encoding"]; e != "" && !isUTF8(e) {
		return outcome.New(outcome.InvalidParameter, "client_encoding must be UTF8", "set client_encoding to UTF8")
	}
	s.Parameters = make(map[string]string)
	for name, value := range parameters {
		if short, ok := strings.CutPrefix(name, ParameterPrefix); ok {
			s.Parameters[short] = value
		}
	}
	for name, value := range parseOptions(parameters["options"]) {
		if short, ok := strings.CutPrefix(name, ParameterPrefix); ok {
			s.Parameters[short] = value
		}
	}
	return nil
}

func isUTF8(encoding string) bool {
	e := strings.ToUpper(strings.Trim(encoding, "'\""))
	return e == "UTF8" || e == "UTF-8" || e == "UNICODE"
}

// parseOptions parses "-c name=value" and "--name=value". As in PostgreSQL, a backslash escapes the next
// character.
func parseOptions(text string) map[string]string {
	options := make(map[string]string)
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			continue
		}
		if name, value, ok := strings.Cut(word, "="); ok {
			options[name] = value
		}
	}
	return options
}

func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	started := false
	for i := 0; i < len(text); i++ {
		ch := text[i]
		if ch == ' ' || ch == '\t' || ch == '\n' {
			if started {
				words = append(words, word.String())
				word.Reset()
				started = false
			}
			continue
		}
		if ch == '\\' && i+1 < len(text) {
			i++
			ch = text[i]
		}
		started = true
		word.WriteByte(ch)
	}
	if started {
		words = append(words, word.String())
	}
	return words
}

// authenticate verifies the key by SCRAM, unless the client has no key, and then checks the authorization.
func (a *Acceptor) authenticate(c *Conn, user string) error {
	c.in.SetMaxBodyLen(maxAuthMessage)
	if !c.Startup.IsPublic() {
		verifier, known := a.Authorizer.FindVerifier(c.Startup.Account, c.Startup.Key)
		if !known {
			verifier = unknownVerifier(a.secret[:], user)
		}
		ok, err := runSCRAM(c, verifier)
		if err != nil {
			return err
		}
		if !ok || !known {
			refusal := outcome.New(outcome.InvalidKey, "the key was not accepted", "check account, key name and key")
			c.Fatal(refusal)
			return refusal
		}
		c.Startup.Verifier = verifier
	}
	if refusal := a.Authorizer.Authorize(&c.Startup); refusal != nil {
		c.Fatal(refusal)
		return refusal
	}
	return nil
}

// runSCRAM runs one SCRAM exchange and reports whether the client proved the key.
func runSCRAM(c *Conn, v Verifier) (bool, error) {
	conversation, err := v.conversation()
	if err != nil {
		return false, err
	}
	if err := sendAuthRequest(c, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}, pgproto3.AuthTypeSASL); err != nil {
		return false, err
	}
	message, err := c.in.Receive()
	if err != nil {
		return false, errors.Wrap(err, "caller: authentication")
	}
	initial, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != mechanism {
		return false, nil
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return false, nil
	}
	if err := sendAuthRequest(c, &pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}, pgproto3.AuthTypeSASLContinue); err != nil {
		return false, err
	}
	message, err = c.in.Receive()
	if err != nil {
		return false, errors.Wrap(err, "caller: authentication")
	}
	final, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return false, nil
	}
	signature, err := conversation.Step(string(final.Data))
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	return true, c.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(signature)})
}

// sendAuthRequest sends an authentication request and prepares to receive the response to it.
func sendAuthRequest(c *Conn, m pgproto3.BackendMessage, kind uint32) error {
	if err := c.Send(m); err != nil {
		return err
	}
	if err := c.Flush(); err != nil {
		return err
	}
	return c.in.SetAuthType(kind)
}
