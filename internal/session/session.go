// Package session stores the floors of a session, one per database group, and transfers them between entry
// VMs in signed tokens. A floor is the highest log position that was acknowledged to the session. The package is
// deterministic.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"fireflyrudder.example/fireflyrudder/pkg/position"
)

// GroupID is the name of a database group.
type GroupID string

// Limits of a token.
const (
	// maxToken is the longest accepted token, in bytes. A startup packet holds 10,000.
	maxToken = 8 << 10
	// maxGroups limits the floors in one token, so that it stays below maxToken with names of up to 63 bytes. A session has more
	// if its route moved more often.
	maxGroups = 64
	// version starts each token, so that a later format can be distinguished.
	version = "v1"
)

// ErrInvalidToken is returned for a token that was not issued by this system, or was modified.
var ErrInvalidToken = errors.WithHint(errors.New("session: the token is not valid"),
	"connect without fireflyrudder.session, or with the last value that was received")

// Session stores the floors of one caller session. It is not safe for concurrent use.
type Session struct {
	floors map[GroupID]position.Position
}

// New returns a session without floors.
func New() *Session {
	return &Session{}
}

// Floor returns the highest position that was acknowledged to the session, or zero.
func (s *Session) Floor(g GroupID) position.Position {
	return s.floors[g]
}

// Raise raises the floor to an acknowledged position. A lower position has no effect.
func (s *Session) Raise(g GroupID, p position.Position) {
	if !s.floors[g].Less(p) {
		return
	}
	if s.floors == nil {
		s.floors = make(map[GroupID]position.Position, 1)
	}
	s.floors[g] = p
}

// Signer signs and verifies tokens. It is immutable and safe for concurrent use.
type Signer struct {
	secret []byte
}

// NewSigner returns a Signer. The secret is the same on all entry VMs and has at least 16 bytes.
func NewSigner(secret []byte) (*Signer, error) {
	if len(secret) < 16 {
		return nil, errors.WithHint(errors.New("session: the secret for tokens is shorter than 16 bytes"),
			"write 32 random bytes to the token file of every entry VM")
	}
	return &Signer{secret: append([]byte(nil), secret...)}, nil
}

// Token returns the floors of a session as a token that is bound to its account. It returns "" if the session has too many:
// without a token the floor is determined anew at the next connect, whereas one with some floors only would be taken for all.
func (k *Signer) Token(s *Session, account string) string {
	if len(s.floors) > maxGroups {
		return ""
	}
	names := make([]string, 0, len(s.floors))
	for g := range s.floors {
		names = append(names, string(g))
	}
	sort.Strings(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = base64.RawURLEncoding.EncodeToString([]byte(name)) + "=" + s.floors[GroupID(name)].String()
	}
	body := version + "." + strings.Join(parts, ";")
	return body + "." + k.sign(body, account)
}

func (k *Signer) sign(body, account string) string {
	mac := hmac.New(sha256.New, k.secret)
	mac.Write([]byte(body))
	mac.Write([]byte{0})
	mac.Write([]byte(account))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// Parse returns the session of a token that was issued to the account, or ErrInvalidToken.
func (k *Signer) Parse(token, account string) (*Session, error) {
	if len(token) > maxToken {
		return nil, ErrInvalidToken
	}
	cut := strings.LastIndexByte(token, '.')
	if cut < 0 {
		return nil, ErrInvalidToken
	}
	body, signature := token[:cut], token[cut+1:]
	if !hmac.Equal([]byte(signature), []byte(k.sign(body, account))) {
		return nil, ErrInvalidToken
	}
	list, ok := strings.CutPrefix(body, version+".")
	if !ok {
		return nil, ErrInvalidToken
	}
	s := New()
	if list == "" {
		return s, nil
	}
	for _, part := range strings.Split(list, ";") {
		name, at, ok := strings.Cut(part, "=")
		if !ok {
			return nil, ErrInvalidToken
		}
		g, err := base64.RawURLEncoding.DecodeString(name)
		if err != nil {
			return nil, ErrInvalidToken
		}
		p, err := position.Parse(at)
		if err != nil {
			return nil, ErrInvalidToken
		}
		s.Raise(GroupID(g), p)
	}
	return s, nil
}
