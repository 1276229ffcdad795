package disk

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fireflyrudder.example/fireflyrudder/internal/wire"
)

// A frame is a magic number, the length of the payload, a CRC-32C over length and payload, and the
// payload. The magic number lets a scan find whole frames behind a damaged one.
const (
	magic      = 0x46524c47
	headerSize = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame wraps a payload.
func frame(payload []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(out[0:], magic)
	binary.BigEndian.PutUint32(out[4:], uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(out[4:8], castagnoli), castagnoli, payload)
	binary.BigEndian.PutUint32(out[8:], sum)
	return append(out, payload...)
}

// unframe returns the payload of the frame at the start of data and the frame's size.
func unframe(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerSize || binary.BigEndian.Uint32(data) != magic {
		return nil, 0, false
	}
	length := uint64(binary.BigEndian.Uint32(data[4:]))
	if length > uint64(len(data)-headerSize) {
		return nil, 0, false
	}
	size = headerSize + int(length)
	payload = data[headerSize:size]
	sum := crc32.Update(crc32.Checksum(data[4:8], castagnoli), castagnoli, payload)
	return payload, size, sum == binary.BigEndian.Uint32(data[8:])
}

// follows reports whether a whole frame begins anywhere in data.
func follows(data []byte) bool {
	for i := range data {
		if _, _, ok := unframe(data[i:]); ok {
			return true
		}
	}
	return false
}

// replay reads the write-ahead file and leaves it open for appending.
func (f *Folder) replay() error {
	log, err := os.OpenFile(f.name(logFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	f.log = log
	if err := syncFolder(f.path); err != nil {
		return err
	}
	data, err := io.ReadAll(log)
	if err != nil {
		return err
	}
	end := 0
	for end < len(data) {
		payload, size, ok := unframe(data[end:])
		if !ok {
			break
		}
		if err := f.collect(payload); err != nil {
			return err
		}
		end += size
	}
	return f.trim(data, end)
}

// trim cuts a torn write behind the last whole frame.
func (f *Folder) trim(data []byte, end int) error {
	if end < len(data) {
		if follows(data[end+1:]) {
			return errors.WithHint(errors.Newf("write-ahead file is damaged at byte %d, with whole records behind", end), remedy)
		}
		f.cut = int64(len(data) - end)
		if err := f.log.Truncate(int64(end)); err != nil {
			return err
		}
		if err := f.log.Sync(); err != nil {
			return err
		}
	}
	_, err := f.log.Seek(int64(end), io.SeekStart)
	return err
}

// collect adds a batch to the records after the snapshot.
func (f *Folder) collect(payload []byte) error {
	batch := &wire.LogBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return errors.WithHint(errors.Wrap(err, "write-ahead file"), remedy)
	}
	base := f.state.Snapshot.GetIndex()
	for _, r := range batch.Records {
		if r.Index <= base {
			f.state.Records = nil
			continue
		}
		if r.Term < f.state.Snapshot.GetTerm() {
			continue // of a superseded branch that the snapshot replaced just before a crash
		}
		at := r.Index - base - 1
		if at > uint64(len(f.state.Records)) {
			return errors.WithHint(errors.Newf("write-ahead file has a gap before record %d", r.Index), remedy)
		}
		f.state.Records = append(f.state.Records[:at], r)
	}
	return nil
}

// writeFile replaces a file by one frame: written beside, synced, renamed, folder synced.
func writeFile(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	next, err := os.OpenFile(name+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = next.Write(frame(payload))
	if err == nil {
		err = next.Sync()
	}
	err = errors.CombineErrors(err, next.Close())
	if err == nil {
		err = os.Rename(next.Name(), name)
	}
	if err != nil {
		return err
	}
	return syncFolder(filepath.Dir(name))
}

// readFile reads a file that writeFile wrote. It is false if there is none.
func readFile(name string, m proto.Message) (bool, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	payload, size, ok := unframe(data)
	if !ok || size != len(data) {
		return false, errors.WithHint(errors.Newf("file %s is damaged", filepath.Base(name)), remedy)
	}
	return true, errors.Wrapf(proto.Unmarshal(payload, m), "file %s", filepath.Base(name))
}
