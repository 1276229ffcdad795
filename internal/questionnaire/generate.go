package questionnaire

import (
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/xdg-go/scram"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

const (
	passwordSize = 24 // bytes; 192 bits are infeasible to guess
	saltSize     = 16 // bytes, as in PostgreSQL
	iterations   = 4096
)

// Secret is a key in plain text, as its owner needs it. It is stored only in the file that the operator names.
type Secret struct {
	User     string // account/key
	Password string
}

// Generate returns the configuration and the new keys in plain text. The configuration contains only their
// SCRAM-SHA-256 verifiers. Keys that exist in the previous configuration are kept, so that an amendment does
// not affect their callers; the others are generated from the random source. previous may be nil.
func (q *Questionnaire) Generate(random io.Reader, previous *wire.Configuration) (*wire.Configuration, []Secret, error) {
	c := &wire.Configuration{Retired: q.Retired}
	slices.Sort(c.Retired)
	var secrets []Secret
	for _, a := range q.Accounts {
		w := &wire.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst, Weight: uint32(a.Weight)}
		for _, name := range a.Keys {
			if k := previousKey(previous, a.Name, name); k != nil {
				w.Keys = append(w.Keys, k)
				continue
			}
			s := Secret{User: a.Name + "/" + name}
			verifier, err := s.generate(random)
			if err != nil {
				return nil, nil, err
			}
			w.Keys = append(w.Keys, &wire.Key{Name: name, Verifier: verifier})
			secrets = append(secrets, s)
		}
		c.Accounts = append(c.Accounts, w)
	}
	for _, d := range q.Databases {
		c.Groups = append(c.Groups, &wire.Group{
			Name:        d.Name,
			Members:     uint32(d.Instances),
			Slots:       uint32(d.Slots),
			Connections: uint32(d.Connections),
		})
		c.Routes = append(c.Routes, &wire.Route{
			Name:       d.Name,
			Group:      d.Name,
			Database:   d.Database,
			Open:       d.Open,
			Accounts:   q.allowedAccounts(d.Name),
			Age:        d.MaxStaleness.Milliseconds(),
			Repeatable: d.Repeatable,
		})
	}
	return c, secrets, nil
}

// previousKey returns the named key of an account in the previous configuration, or nil.
func previousKey(previous *wire.Configuration, account, name string) *wire.Key {
	for _, a := range previous.GetAccounts() {
		for _, k := range a.GetKeys() {
			if a.GetName() == account && k.GetName() == name && k.GetVerifier() != "" {
				return k
			}
		}
	}
	return nil
}

// allowedAccounts returns the accounts that may use a database, or nil for an open database.
func (q *Questionnaire) allowedAccounts(database string) []string {
	var names []string
	for _, d := range q.Databases {
		if d.Name == database && d.Open {
			return nil
		}
	}
	for _, a := range q.Accounts {
		if len(a.Databases) == 0 || slices.Contains(a.Databases, database) {
			names = append(names, a.Name)
		}
	}
	return names
}

// generate sets a random password and returns its verifier in the format of PostgreSQL.
func (s *Secret) generate(random io.Reader) (string, error) {
	raw := make([]byte, passwordSize+saltSize)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", errors.WithHint(errors.Wrap(err, "questionnaire: random source"), "run the command again")
	}
	s.Password = base64.RawURLEncoding.EncodeToString(raw[:passwordSize])
	salt := raw[passwordSize:]
	client, err := scram.SHA256.NewClient(s.User, s.Password, "")
	if err != nil {
		return "", errors.Wrap(err, "questionnaire: key")
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return "", errors.Wrap(err, "questionnaire: key")
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", iterations, encode(salt), encode(stored.StoredKey), encode(stored.ServerKey)), nil
}

// WriteSecrets writes keys in plain text to a new file that only its owner can read. It never overwrites a
// file, since the keys in it could not be recovered.
func WriteSecrets(file string, secrets []Secret) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "questionnaire: keys"), "name a new file in a folder that you can write to")
	}
	var b strings.Builder
	for _, s := range secrets {
		fmt.Fprintf(&b, "%s %s\n", s.User, s.Password)
	}
	_, err = f.WriteString(b.String())
	return errors.Wrap(errors.CombineErrors(errors.CombineErrors(err, f.Sync()), f.Close()), "questionnaire: keys")
}
