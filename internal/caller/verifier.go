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

// mechanism is the only SASL mechanism offered. Channel binding is not offered, since callers may
// reach an entry VM through a balancer that ends TLS.
const mechanism = "SCRAM-SHA-256"

// defaultIterations is what PostgreSQL uses for new verifiers. Unknown users are shown the same
// number, so that an answer does not tell which users exist.
const defaultIterations = 4096

// Verifier is what is stored of a key: enough to check a proof, not enough to make one.
type Verifier struct {
	stored scram.StoredCredentials
}

// ParseVerifier reads SCRAM-SHA-256$iterations:salt$stored:server, as PostgreSQL writes it.
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

// NewVerifier derives the verifier of a key from its password, as text for the configuration.
func NewVerifier(password, salt string, iterations int) (string, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil { // PostgreSQL also takes a password that SASLprep refuses as it is
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

// unknownVerifier returns a verifier that no proof meets. The salt depends on the user only, so
// that repeated attempts do not tell an unknown user from a known one.
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

// conversation starts one SCRAM exchange. The user name inside the exchange is ignored, as
// PostgreSQL does; the one of the startup packet counts.
func (v Verifier) conversation() (*scram.ServerConversation, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return v.stored, nil
	})
	if err != nil {
		return nil, errors.Wrap(err, "caller: start SCRAM")
	}
	return server.NewConversation(), nil
}

// Equal reports whether two verifiers are of the same key.
func (v Verifier) Equal(other Verifier) bool {
	return v.stored.KeyFactors == other.stored.KeyFactors && hmac.Equal(v.stored.StoredKey, other.stored.StoredKey)
}
