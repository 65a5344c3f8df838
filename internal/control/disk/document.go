package disk

import (
	"errors"
	"fmt"

	"hornbeamwood/internal/base/codec"
)

// temporary is the suffix of files that are never read. They are removed at the next start.
const temporary = ".tmp"

// writeDocument writes content to the file name atomically.
//
// A file that is written in place may be incomplete after a crash. Here the
// final name appears only after the content is on the device.
func writeDocument(files Files, name string, content []byte) error {
	if err := writeTemporary(files, name+temporary, content); err != nil {
		return err
	}
	if err := files.Rename(name+temporary, name); err != nil {
		return fmt.Errorf("disk: rename to %s: %w", files.Path(name), err)
	}
	if err := files.Sync(); err != nil {
		return fmt.Errorf("disk: sync the folder of %s: %w", files.Path(name), err)
	}
	return nil
}

func writeTemporary(files Files, name string, content []byte) error {
	file, err := files.Create(name)
	if err != nil {
		return fmt.Errorf("disk: create %s: %w", files.Path(name), err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("disk: write %s: %w", files.Path(name), err)
	}
	return nil
}

// writeValue writes the encoding of v to the file name atomically.
func writeValue[T any](files Files, name string, v T) error {
	b, err := codec.Marshal(v)
	if err != nil {
		return err
	}
	return writeDocument(files, name, appendFrame(nil, b))
}

// readValue returns the value in the file name. The error of a missing file is fs.ErrNotExist.
func readValue[T any](files Files, name string) (T, error) {
	var zero T
	b, err := files.Read(name)
	if err != nil {
		return zero, fmt.Errorf("disk: read %s: %w", files.Path(name), err)
	}
	payload, size, state := readFrame(b)
	if state != frameWhole || size != len(b) {
		return zero, &Corruption{Path: files.Path(name), Reason: "the checksum does not match"}
	}
	v, err := codec.Unmarshal[T](payload)
	if err != nil {
		return zero, &Corruption{Path: files.Path(name), Reason: err.Error()}
	}
	return v, nil
}
