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
// payload. The magic number lets a scan find valid frames after a damaged one.
const (
	magic      = 0x46524c47
	headerSize = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns the frame of a payload.
func encodeFrame(payload []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(out[0:], magic)
	binary.BigEndian.PutUint32(out[4:], uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(out[4:8], castagnoli), castagnoli, payload)
	binary.BigEndian.PutUint32(out[8:], sum)
	return append(out, payload...)
}

// decodeFrame returns the payload and the size of the frame at the start of data. It reports false if
// the frame is incomplete or its checksum is wrong.
func decodeFrame(data []byte) (payload []byte, size int, ok bool) {
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

// containsFrame reports whether a valid frame begins anywhere in data.
func containsFrame(data []byte) bool {
	for i := range data {
		if _, _, ok := decodeFrame(data[i:]); ok {
			return true
		}
	}
	return false
}

// replay reads the write-ahead file and leaves it open for appending.
func (f *Folder) replay() error {
	log, err := os.OpenFile(f.filePath(logFile), os.O_CREATE|os.O_RDWR, 0o600)
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
		payload, size, ok := decodeFrame(data[end:])
		if !ok {
			break
		}
		if err := f.addBatch(payload); err != nil {
			return err
		}
		end += size
	}
	return f.truncateTail(data, end)
}

// truncateTail truncates an incomplete write after the last valid frame.
func (f *Folder) truncateTail(data []byte, end int) error {
	if end < len(data) {
		if containsFrame(data[end+1:]) {
			return errors.WithHint(errors.Newf("write-ahead file is damaged at byte %d, with valid records after it", end), damageHint)
		}
		f.truncated = int64(len(data) - end)
		if err := f.log.Truncate(int64(end)); err != nil {
			return err
		}
		if err := f.log.Sync(); err != nil {
			return err
		}
	}
	f.size = int64(end)
	_, err := f.log.Seek(f.size, io.SeekStart)
	return err
}

// addBatch adds the records of a batch that come after the snapshot to the state.
func (f *Folder) addBatch(payload []byte) error {
	batch := &wire.LogBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return errors.WithHint(errors.Wrap(err, "write-ahead file"), damageHint)
	}
	base := f.state.Snapshot.GetIndex()
	for _, r := range batch.Records {
		if r.Index <= base {
			f.state.Records = nil
			continue
		}
		if r.Term < f.state.Snapshot.GetTerm() {
			continue // on a superseded branch, which the snapshot replaced just before a crash
		}
		at := r.Index - base - 1
		if at > uint64(len(f.state.Records)) {
			return errors.WithHint(errors.Newf("write-ahead file has a gap before record %d", r.Index), damageHint)
		}
		f.state.Records = append(f.state.Records[:at], r)
	}
	return nil
}

// writeFile atomically replaces a file with one frame: it writes and syncs a temporary file, renames
// it and syncs the folder.
func writeFile(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	next, err := os.OpenFile(name+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = next.Write(encodeFrame(payload))
	if err == nil {
		err = next.Sync()
	}
	if err != nil {
		_ = next.Truncate(0) // it must not take the room that it lacked
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

// readFile reads a file that writeFile wrote. It returns false if the file does not exist.
func readFile(name string, m proto.Message) (bool, error) {
	data, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	payload, size, ok := decodeFrame(data)
	if !ok || size != len(data) {
		return false, errors.WithHint(errors.Newf("file %s is damaged", filepath.Base(name)), damageHint)
	}
	return true, errors.Wrapf(proto.Unmarshal(payload, m), "file %s", filepath.Base(name))
}
