// Package disk keeps the state of a voter in one data folder: its identity, its vote, the
// write-ahead file of the control log and the latest snapshot. Nothing counts before it is synced,
// the folder's own entries included.
package disk

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// Names of the files in a data folder.
const (
	identityFile = "identity"
	voteFile     = "vote"
	snapshotFile = "snapshot"
	logFile      = "log"
	lockFile     = "lock"
)

// remedy is what an operator does about a damaged folder. The other voters hold the state; a voter
// must not take part with a part of what it once acknowledged.
const remedy = "stop this control VM, move its data folder away and start it again: it joins as a learner " +
	"and receives the state from the other control VMs"

// Folder is an open data folder. It is not safe for concurrent use. After an error of a write the
// process must stop, because it is not known what is durable.
type Folder struct {
	path     string
	identity string
	lock     *os.File
	log      *os.File
	state    State
	syncs    uint64
	cut      int64
}

// State is what was found in the folder.
type State struct {
	Vote     *wire.Vote          // nil if there is none
	Snapshot *wire.VoterSnapshot // nil if there is none
	Records  []*wire.LogRecord   // after the snapshot, without gaps
}

// Open opens or creates a data folder and locks it against a second process. It cuts a torn end
// of the write-ahead file and refuses any other damage with an error that names the remedy.
func Open(path string) (*Folder, error) {
	f := &Folder{path: path}
	if err := f.open(); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "disk: %s", path)
	}
	return f, nil
}

func (f *Folder) open() error {
	if err := os.MkdirAll(f.path, 0o700); err != nil {
		return err
	}
	if err := syncFolder(filepath.Dir(f.path)); err != nil {
		return err
	}
	if err := f.acquire(); err != nil {
		return err
	}
	if err := f.identify(); err != nil {
		return err
	}
	vote, snapshot := &wire.Vote{}, &wire.VoterSnapshot{}
	if found, err := readFile(f.name(voteFile), vote); err != nil {
		return err
	} else if found {
		f.state.Vote = vote
	}
	if found, err := readFile(f.name(snapshotFile), snapshot); err != nil {
		return err
	} else if found {
		f.state.Snapshot = snapshot
	}
	return f.replay()
}

// acquire locks the folder for the life of the process.
func (f *Folder) acquire() error {
	lock, err := os.OpenFile(f.name(lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	f.lock = lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.WithHint(errors.Wrap(err, "the folder is in use"), "stop the other process that uses this data folder")
	}
	return nil
}

// identify reads the identity or makes one for an empty folder.
func (f *Folder) identify() error {
	stored := &wire.Vote{}
	found, err := readFile(f.name(identityFile), stored)
	if err != nil {
		return err
	}
	if found {
		f.identity = stored.Candidate
		return nil
	}
	for _, name := range []string{voteFile, snapshotFile, logFile} {
		if _, err := os.Stat(f.name(name)); err == nil {
			return errors.WithHint(errors.Newf("file %s exists but file %s is missing", name, identityFile), remedy)
		}
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	f.identity = hex.EncodeToString(random[:])
	return writeFile(f.name(identityFile), &wire.Vote{Candidate: f.identity})
}

// Identity returns the identity that was made with the folder.
func (f *Folder) Identity() string { return f.identity }

// State returns what was found when the folder was opened.
func (f *Folder) State() State { return f.state }

// Syncs returns the number of syncs of the write-ahead file.
func (f *Folder) Syncs() uint64 { return f.syncs }

// TruncatedBytes returns the number of bytes of a torn write that were cut when the folder was opened.
func (f *Folder) TruncatedBytes() int64 { return f.cut }

// SaveVote makes a vote durable.
func (f *Folder) SaveVote(v *wire.Vote) error {
	return errors.Wrap(writeFile(f.name(voteFile), v), "disk: vote")
}

// Append makes records durable with one sync. They replace all records from the first one's index on.
func (f *Folder) Append(records []*wire.LogRecord) error {
	if len(records) == 0 {
		return nil
	}
	if err := f.write(f.log, records); err != nil {
		return errors.Wrap(err, "disk: append")
	}
	f.syncs++
	return errors.Wrap(f.log.Sync(), "disk: append")
}

// Compact makes a snapshot durable and then replaces the write-ahead file by the records behind
// it. After a crash in between, the records that the snapshot holds are skipped.
func (f *Folder) Compact(s *wire.VoterSnapshot, rest []*wire.LogRecord) error {
	if err := writeFile(f.name(snapshotFile), s); err != nil {
		return errors.Wrap(err, "disk: snapshot")
	}
	return errors.Wrap(f.rewrite(rest), "disk: compaction")
}

// rewrite replaces the write-ahead file.
func (f *Folder) rewrite(rest []*wire.LogRecord) error {
	next, err := os.OpenFile(f.name(logFile)+".new", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		err = f.write(next, rest)
	}
	if err == nil {
		err = next.Sync()
	}
	if err == nil {
		err = os.Rename(next.Name(), f.name(logFile))
	}
	if err == nil {
		err = syncFolder(f.path)
	}
	if err != nil {
		_ = next.Close()
		return err
	}
	_ = f.log.Close()
	f.log = next
	return nil
}

// Close releases the folder. Everything that was acknowledged is durable already.
func (f *Folder) Close() error {
	if f.log != nil {
		_ = f.log.Close()
	}
	if f.lock != nil {
		return f.lock.Close()
	}
	return nil
}

func (f *Folder) name(file string) string {
	return filepath.Join(f.path, file)
}

// write appends one batch as one frame. A frame is one sync, so that a whole frame behind a
// damaged one proves that the damaged one was once durable.
func (f *Folder) write(to *os.File, records []*wire.LogRecord) error {
	payload, err := proto.Marshal(&wire.LogBatch{Records: records})
	if err != nil {
		return err
	}
	_, err = to.Write(frame(payload))
	return err
}

// syncFolder makes the entries of a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer io.Closer(folder).Close()
	return folder.Sync()
}
