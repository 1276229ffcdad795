package session_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/session"
	"fireflyrudder.example/fireflyrudder/pkg/position"
)

func signer(t testing.TB, secret string) *session.Signer {
	t.Helper()
	s, err := session.NewSigner([]byte(secret))
	require.NoError(t, err)
	return s
}

// Guards against floors that are lost or changed in transfer between entry VMs.
func TestTokenRoundTrip(t *testing.T) {
	k := signer(t, strings.Repeat("k", 32))
	s := session.New()
	s.Raise("class", position.Position{Term: 3, Offset: 1200})
	s.Raise("class", position.Position{Term: 2, Offset: 5000})
	s.Raise("ledger;x=1", position.Position{Term: 1, Offset: 7})
	token := k.Token(s, "tide")
	read, err := k.Parse(token, "tide")
	require.NoError(t, err)
	require.Equal(t, position.Position{Term: 3, Offset: 1200}, read.Floor("class"))
	require.Equal(t, position.Position{Term: 1, Offset: 7}, read.Floor("ledger;x=1"))
	require.Zero(t, read.Floor("other"))
	empty, err := k.Parse(k.Token(session.New(), "tide"), "tide")
	require.NoError(t, err)
	require.Zero(t, empty.Floor("class"))

	_, err = k.Parse(token, "other")
	require.ErrorIs(t, err, session.ErrInvalidToken, "a token is bound to its account")
	_, err = signer(t, strings.Repeat("x", 32)).Parse(token, "tide")
	require.ErrorIs(t, err, session.ErrInvalidToken)
	_, err = session.NewSigner([]byte("short"))
	require.Error(t, err)
}

// Guards against a session that forgets a write since its route was in many groups, and against a token without some of them.
func TestSessionOfManyGroups(t *testing.T) {
	k := signer(t, strings.Repeat("k", 32))
	s := session.New()
	for n := range 64 {
		s.Raise(session.GroupID(strings.Repeat("g", n+1)), position.Position{Term: 1, Offset: 7})
	}
	require.NotEmpty(t, k.Token(s, "tide"))
	s.Raise("another", position.Position{Term: 1, Offset: 9})
	require.Equal(t, position.Position{Term: 1, Offset: 9}, s.Floor("another"))
	require.Empty(t, k.Token(s, "tide"))
}

// Guards against a parser that panics, or that accepts a token which this system did not issue.
func FuzzParse(f *testing.F) {
	k := signer(f, strings.Repeat("k", 32))
	s := session.New()
	s.Raise("class", position.Position{Term: 3, Offset: 1200})
	good := k.Token(s, "tide")
	for _, seed := range []string{good, "", ".", "v1.", "v1..", good + "x", strings.ToUpper(good)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, token string) {
		read, err := k.Parse(token, "tide")
		if err == nil {
			require.Equal(t, token, k.Token(read, "tide"))
		}
	})
}
