package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"
)

// mechanism is the only supported SASL mechanism. Channel binding is not supported, because clients may
// connect to an entry VM through a load balancer that terminates TLS.
const mechanism = "SCRAM-SHA-256"

// defaultIterations is the iteration count that PostgreSQL uses for new verifiers. Unknown users get the same
// count, so that the response does not reveal which users exist.
const defaultIterations = 4096

// Verifier is the stored form of a key. It can verify a SCRAM proof but not produce one.
type Verifier struct {
	stored scram.StoredCredentials
}

// ParseVerifier parses SCRAM-SHA-256$iterations:salt$stored:server, the format of PostgreSQL.
func ParseVerifier(text string) (Verifier, error) {
	fault := errors.WithHint(errors.New("caller: malformed SCRAM-SHA-256 verifier"),
		"generate the verifier again with the key tool")
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != mechanism {
		return Verifier{}, fault
	}
	count, salt, ok := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok || !ok2 {
		return Verifier{}, fault
	}
	iterations, err := strconv.Atoi(count)
	if err != nil || iterations < 1 {
		return Verifier{}, fault
	}
	var decoded [3][]byte
	for i, field := range []string{salt, stored, server} {
		decoded[i], err = base64.StdEncoding.DecodeString(field)
		if err != nil || len(decoded[i]) == 0 {
			return Verifier{}, fault
		}
	}
	if len(decoded[1]) != sha256.Size || len(decoded[2]) != sha256.Size {
		return Verifier{}, fault
	}
	return Verifier{stored: scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(decoded[0]), Iters: iterations},
		StoredKey:  decoded[1],
		ServerKey:  decoded[2],
	}}, nil
}

// NewVerifier derives the verifier of a key from its password. It returns the text that ParseVerifier
// parses, for the configuration.
func NewVerifier(password, salt string, iterations int) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil { // like PostgreSQL, use a password that SASLprep rejects unchanged
		client, err = scram.SHA256.NewClientUnprepped("", password, "")
	}
	if err != nil {
		return "", errors.Wrap(err, "caller: derive verifier")
	}
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	if err != nil {
		return "", errors.Wrap(err, "caller: derive verifier")
	}
	encode := base64.StdEncoding.EncodeToString
	return mechanism + "$" + strconv.Itoa(iterations) + ":" + encode([]byte(salt)) + "$" +
		encode(c.StoredKey) + ":" + encode(c.ServerKey), nil
}

// unknownVerifier returns a verifier that no proof matches. The salt depends only on the user, so that
// repeated attempts do not reveal that the user is unknown.
func unknownVerifier(secret []byte, user string) Verifier {
	derive := func(label string) []byte {
		mac := hmac.New(sha256.New, secret)
		mac.Write([]byte(label + user))
		return mac.Sum(nil)
	}
	return Verifier{stored: scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt:")[:16]), Iters: defaultIterations},
		StoredKey:  derive("stored:"),
		ServerKey:  derive("server:"),
	}}
}

// conversation starts one SCRAM exchange. Like PostgreSQL, it ignores the user name in the exchange; the user
// name of the startup packet is used instead.
func (v Verifier) conversation() (*scram.ServerConversation, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return v.stored, nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "caller: start SCRAM")
	}
	return server.NewConversation(), nil
}

// Equal reports whether two verifiers belong to the same key.
func (v Verifier) Equal(other Verifier) bool {
	return v.stored.KeyFactors == other.stored.KeyFactors && hmac.Equal(v.stored.StoredKey, other.stored.StoredKey)
}
