package disk_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fireflyrudder.example/fireflyrudder/internal/disk"
	"fireflyrudder.example/fireflyrudder/internal/wire"
)

func record(index, term uint64) *wire.LogRecord {
	e := &wire.Entry{Entry: &wire.Entry_Forget{Forget: "entry"}}
	return &wire.LogRecord{Index: index, Term: term, Body: &wire.LogRecord_Entry{Entry: e}}
}

func open(t *testing.T, path string) *disk.Folder {
	t.Helper()
	f, err := disk.Open(path)
	require.NoError(t, err)
	return f
}

// reopen closes a folder and opens it again.
func reopen(t *testing.T, f *disk.Folder, path string) *disk.Folder {
	t.Helper()
	require.NoError(t, f.Close())
	return open(t, path)
}

func indices(records []*wire.LogRecord) []uint64 {
	var out []uint64
	for _, r := range records {
		out = append(out, r.Index)
	}
	return out
}

// refused checks that Open rejects a damaged folder with a hint for the operator.
func refused(t *testing.T, path string) {
	t.Helper()
	_, err := disk.Open(path)
	require.Error(t, err)
	require.Contains(t, errors.FlattenHints(err), "joins as a learner")
}

// Guards against losing votes, records or the identity when a folder is opened again, and against
// restoring records that a later batch replaced.
func TestReopen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	identity := f.Identity()
	require.Len(t, identity, 16)
	require.Nil(t, f.State().Vote)
	require.NoError(t, f.SaveVote(&wire.Vote{Term: 3, Candidate: "x"}))
	require.NoError(t, f.Append([]*wire.LogRecord{record(1, 1), record(2, 1), record(3, 1)}))
	require.NoError(t, f.Append([]*wire.LogRecord{record(2, 2)}))
	f = reopen(t, f, path)
	require.Equal(t, identity, f.Identity())
	require.EqualValues(t, 3, f.State().Vote.Term)
	require.Equal(t, "x", f.State().Vote.Candidate)
	require.Equal(t, []uint64{1, 2}, indices(f.State().Records))
	require.EqualValues(t, 2, f.State().Records[1].Term)
	require.NoError(t, f.Append([]*wire.LogRecord{record(3, 2)}))
	f = reopen(t, f, path)
	require.Equal(t, []uint64{1, 2, 3}, indices(f.State().Records))
	require.NoError(t, f.Close())
}

// Guards against a compaction that loses records or restores old ones, including after a crash between
// the snapshot and the new write-ahead file.
func TestCompaction(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	require.NoError(t, f.Append([]*wire.LogRecord{record(1, 1), record(2, 1), record(3, 1), record(4, 1)}))
	before, err := os.ReadFile(filepath.Join(path, "log"))
	require.NoError(t, err)
	snapshot := &wire.VoterSnapshot{Index: 3, Term: 1, Book: &wire.Book{}}
	require.NoError(t, f.Compact(snapshot, []*wire.LogRecord{record(4, 1)}))
	require.NoError(t, f.Append([]*wire.LogRecord{record(5, 1)}))
	f = reopen(t, f, path)
	require.EqualValues(t, 3, f.State().Snapshot.Index)
	require.Equal(t, []uint64{4, 5}, indices(f.State().Records))
	require.NoError(t, f.Close())

	require.NoError(t, os.WriteFile(filepath.Join(path, "log"), before, 0o600))
	f = open(t, path)
	require.Equal(t, []uint64{4}, indices(f.State().Records), "records that the snapshot covers are skipped")
	newer := &wire.VoterSnapshot{Index: 3, Term: 2, Book: &wire.Book{}}
	require.NoError(t, f.Compact(newer, nil))
	require.NoError(t, f.Close())
	require.NoError(t, os.WriteFile(filepath.Join(path, "log"), before, 0o600))
	f = open(t, path)
	require.Empty(t, f.State().Records, "records of a superseded branch do not follow a newer snapshot")
	require.NoError(t, f.Close())
}

// Guards against an incomplete last write that prevents a start or hides durable records. The write is
// torn at every byte, with and without zeroes after it.
func TestTornTail(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	require.NoError(t, f.Append([]*wire.LogRecord{record(1, 1)}))
	whole, err := os.ReadFile(filepath.Join(path, "log"))
	require.NoError(t, err)
	require.NoError(t, f.Append([]*wire.LogRecord{record(2, 1), record(3, 1)}))
	require.NoError(t, f.Close())
	all, err := os.ReadFile(filepath.Join(path, "log"))
	require.NoError(t, err)
	for size := len(whole) + 1; size < len(all); size++ {
		for _, zeroes := range []int{0, len(all) - size} {
			torn := slices.Concat(all[:size], make([]byte, zeroes))
			require.NoError(t, os.WriteFile(filepath.Join(path, "log"), torn, 0o600))
			f := open(t, path)
			require.Equal(t, []uint64{1}, indices(f.State().Records))
			require.Positive(t, f.TruncatedBytes())
			require.NoError(t, f.Append([]*wire.LogRecord{record(2, 2)}))
			f = reopen(t, f, path)
			require.Equal(t, []uint64{1, 2}, indices(f.State().Records))
			require.Zero(t, f.TruncatedBytes())
			require.NoError(t, f.Close())
		}
	}
}

// Guards against a voter that starts although it lost records that it had acknowledged: Open must reject
// a flipped bit in any byte before the last batch, with a hint for the operator.
func TestBitFlip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	require.NoError(t, f.SaveVote(&wire.Vote{Term: 1, Candidate: "x"}))
	require.NoError(t, f.Compact(&wire.VoterSnapshot{Index: 1, Term: 1, Book: &wire.Book{}}, nil))
	require.NoError(t, f.Append([]*wire.LogRecord{record(2, 1)}))
	require.NoError(t, f.Append([]*wire.LogRecord{record(3, 1)}))
	middle, err := os.ReadFile(filepath.Join(path, "log"))
	require.NoError(t, err)
	require.NoError(t, f.Append([]*wire.LogRecord{record(4, 1)}))
	require.NoError(t, f.Close())
	for name, limit := range map[string]int{"log": len(middle), "vote": -1, "identity": -1, "snapshot": -1} {
		file := filepath.Join(path, name)
		good, err := os.ReadFile(file)
		require.NoError(t, err)
		for i := range good {
			if i == limit {
				break
			}
			bad := append([]byte(nil), good...)
			bad[i] ^= 1 << (i % 8)
			require.NoError(t, os.WriteFile(file, bad, 0o600))
			refused(t, path)
		}
		require.NoError(t, os.WriteFile(file, good, 0o600))
	}
	f = open(t, path)
	require.Len(t, f.State().Records, 3)
	require.NoError(t, f.Close())
}

// Guards against opening a folder that has a log but no identity, and against two processes that use
// one folder.
func TestFolderIsOneVoter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	_, err := disk.Open(path)
	require.ErrorContains(t, err, "in use")
	require.NoError(t, f.Close())
	require.NoError(t, os.Remove(filepath.Join(path, "identity")))
	refused(t, path)
}

// Guards against records of a failed append that are read again although they may not be durable.
func TestFailedAppendIsUndone(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	require.NoError(t, f.Append([]*wire.LogRecord{record(1, 1)}))
	size := f.Size()
	other, err := os.OpenFile(filepath.Join(path, "log"), os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	log, err := os.ReadFile(other.Name())
	require.NoError(t, err)
	_, err = other.Write(log) // a whole frame, of which it is unknown whether it is durable
	require.NoError(t, err)
	require.NoError(t, other.Close())
	require.NoError(t, disk.Undo(f))
	require.Equal(t, size, f.Size())
	f = reopen(t, f, path)
	require.Equal(t, size, f.Size())
	require.Equal(t, []uint64{1}, indices(f.State().Records))
	require.True(t, f.Intact())
}

// Guards against files that were being written when the disk was full, or the process ended, and keep the disk full.
func TestUnfinishedFilesTakeNoRoom(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	require.NoError(t, open(t, path).Close())
	for _, name := range []string{"vote.new", "log.new", "snapshot.new"} {
		require.NoError(t, os.WriteFile(filepath.Join(path, name), make([]byte, 1<<20), 0o600))
	}
	f := open(t, path)
	defer f.Close()
	entries, err := os.ReadDir(path)
	require.NoError(t, err)
	for _, e := range entries {
		info, err := e.Info()
		require.NoError(t, err)
		require.Less(t, info.Size(), int64(1000), e.Name())
	}
	require.NoError(t, disk.Probe(path))
}
