// Package disk stores the state of a voter in one data folder: its identity, its vote, the
// write-ahead file of the control log and the latest snapshot. Every write is synced before it is
// reported as done, including the directory entries.
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

// damageHint is the hint of errors about a damaged folder. The other voters store the same state; a voter
// that has lost records it acknowledged must not vote.
const damageHint = "stop this control VM, move its data folder away and start it again: it joins as a learner " +
	"and receives the state from the other control VMs"

// Folder is an open data folder. It is not safe for concurrent use. After a failed write the folder must be opened anew.
type Folder struct {
	path      string
	identity  string
	lock      *os.File
	log       *os.File
	size      int64 // bytes of the write-ahead file; all of them are durable
	uncertain bool  // the write-ahead file may contain a failed append
	state     State
	syncs     uint64
	truncated int64
}

// State is the content of the folder when it was opened.
type State struct {
	Vote     *wire.Vote          // nil if there is none
	Snapshot *wire.VoterSnapshot // nil if there is none
	Records  []*wire.LogRecord   // after the snapshot, without gaps
}

// Open opens or creates a data folder and locks it against a second process. It truncates an
// incomplete write at the end of the write-ahead file. Any other damage is an error with a hint for
// the operator.
func Open(path string) (*Folder, error) {
	f := &Folder{path: path}
	if err := f.open(); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "disk: %s", path)
	}
	return f, nil
}

// Rewrite writes the write-ahead file of a data folder anew and makes it durable. After a failed write it is unknown which
// of its records are, although they can be read.
func Rewrite(path string) error {
	f, err := Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(errors.Wrapf(f.rewrite(f.state.Records), "disk: %s", path), f.Close())
}

// probeBytes is the room that a folder needs to go on: a vote and the records of some changes of views.
const probeBytes = 64 << 10

// Probe returns an error if a data folder has no room to go on.
func Probe(path string) error {
	name := filepath.Join(path, logFile) + ".new"
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Truncate(0)
		return err
	}
	return os.Remove(name)
}

// IsFull reports whether an error means that the disk has no room for a write.
func IsFull(err error) bool { return errors.IsAny(err, syscall.ENOSPC, syscall.EDQUOT) }

func (f *Folder) open() error {
	if err := os.MkdirAll(f.path, 0o700); err != nil {
		return err
	}
	if err := syncFolder(filepath.Dir(f.path)); err != nil {
		return err
	}
	if err := f.acquireLock(); err != nil {
		return err
	}
	if err := f.loadIdentity(); err != nil {
		return err
	}
	f.emptyUnfinished()
	vote, snapshot := &wire.Vote{}, &wire.VoterSnapshot{}
	if found, err := readFile(f.filePath(voteFile), vote); err != nil {
		return err
	} else if found {
		f.state.Vote = vote
	}
	if found, err := readFile(f.filePath(snapshotFile), snapshot); err != nil {
		return err
	} else if found {
		f.state.Snapshot = snapshot
	}
	return f.replay()
}

// emptyUnfinished empties the files that a process was writing when it ended, so that they take no room.
func (f *Folder) emptyUnfinished() {
	for _, name := range []string{identityFile, voteFile, snapshotFile, logFile} {
		_ = os.Truncate(f.filePath(name)+".new", 0) // most often there is none
	}
}

// acquireLock locks the folder until Close or the end of the process.
func (f *Folder) acquireLock() error {
	lock, err := os.OpenFile(f.filePath(lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	f.lock = lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return errors.WithHint(errors.Wrap(err, "the folder is in use"), "stop the other process that uses this data folder")
	}
	return nil
}

// loadIdentity reads the identity or generates one for an empty folder.
func (f *Folder) loadIdentity() error {
	stored := &wire.Vote{}
	found, err := readFile(f.filePath(identityFile), stored)
	if err != nil {
		return err
	}
	if found {
		f.identity = stored.Candidate
		return nil
	}
	for _, name := range []string{voteFile, snapshotFile, logFile} {
		if _, err := os.Stat(f.filePath(name)); err == nil {
			return errors.WithHint(errors.Newf("file %s exists but file %s is missing", name, identityFile), damageHint)
		}
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return err
	}
	f.identity = hex.EncodeToString(random[:])
	return writeFile(f.filePath(identityFile), &wire.Vote{Candidate: f.identity})
}

// Identity returns the identity that was generated when the folder was created.
func (f *Folder) Identity() string { return f.identity }

// State returns the state that was read when the folder was opened.
func (f *Folder) State() State { return f.state }

// Syncs returns the number of syncs of the write-ahead file.
func (f *Folder) Syncs() uint64 { return f.syncs }

// TruncatedBytes returns the size of the incomplete write that was truncated when the folder was opened.
func (f *Folder) TruncatedBytes() int64 { return f.truncated }

// SaveVote makes a vote durable.
func (f *Folder) SaveVote(v *wire.Vote) error {
	return errors.Wrap(writeFile(f.filePath(voteFile), v), "disk: vote")
}

// Append makes records durable with one sync. They replace all stored records from the index of the
// first one on.
func (f *Folder) Append(records []*wire.LogRecord) error {
	if len(records) == 0 {
		return nil
	}
	written, err := f.write(f.log, records)
	if err == nil {
		f.syncs++
		err = f.log.Sync()
	}
	if err != nil {
		f.uncertain = f.undo() != nil
		return errors.Wrap(err, "disk: append")
	}
	f.size += written
	return nil
}

// undo removes a failed append from the write-ahead file, which needs no room. Otherwise its records could be read again
// although they may not be durable.
func (f *Folder) undo() error {
	if err := f.log.Truncate(f.size); err != nil {
		return err
	}
	return f.log.Sync()
}

// Size returns the size of the write-ahead file in bytes.
func (f *Folder) Size() int64 { return f.size }

// Intact reports whether all that can be read from the folder is durable, also after a failed write.
func (f *Folder) Intact() bool { return !f.uncertain }

// Compact makes a snapshot durable and then replaces the write-ahead file with the records after
// it. After a crash between the two steps, Open skips the records that the snapshot covers.
func (f *Folder) Compact(s *wire.VoterSnapshot, tail []*wire.LogRecord) error {
	if err := writeFile(f.filePath(snapshotFile), s); err != nil {
		return errors.Wrap(err, "disk: snapshot")
	}
	return errors.Wrap(f.rewrite(tail), "disk: compaction")
}

// rewrite atomically replaces the write-ahead file with one that contains the given records.
func (f *Folder) rewrite(tail []*wire.LogRecord) error {
	next, err := os.OpenFile(f.filePath(logFile)+".new", os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	var written int64
	if len(tail) > 0 {
		written, err = f.write(next, tail)
	}
	if err == nil {
		err = next.Sync()
	}
	if err == nil {
		err = os.Rename(next.Name(), f.filePath(logFile))
	}
	if err == nil {
		err = syncFolder(f.path)
	}
	if err != nil {
		_ = next.Truncate(0) // it must not take the room that it lacked
		_ = next.Close()
		return err
	}
	_ = f.log.Close()
	f.log, f.size = next, written
	return nil
}

// Close closes the files and releases the lock. All acknowledged data is already durable.
func (f *Folder) Close() error {
	if f.log != nil {
		_ = f.log.Close()
	}
	if f.lock != nil {
		return f.lock.Close()
	}
	return nil
}

func (f *Folder) filePath(file string) string {
	return filepath.Join(f.path, file)
}

// write appends one batch as one frame and returns its size. Each frame is synced by itself, so a valid frame after a
// damaged one proves that the damaged one was durable before.
func (f *Folder) write(to *os.File, records []*wire.LogRecord) (int64, error) {
	payload, err := proto.Marshal(&wire.LogBatch{Records: records})
	if err != nil {
		return 0, err
	}
	n, err := to.Write(encodeFrame(payload))
	return int64(n), err
}

// syncFolder makes the directory entries of a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer io.Closer(folder).Close()
	return folder.Sync()
}
