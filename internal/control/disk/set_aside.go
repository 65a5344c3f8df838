package disk

import (
	"errors"
	"fmt"
	"strings"
)

// setAsidePrefix begins the names of the files of a damaged folder that are kept for an operator.
const setAsidePrefix = "damaged-"

// SetAside renames the files of a damaged folder, so that the next Open finds a blank one and generates a new identity.
//
// The identity goes first. If the process died in between and the identity stayed beside a part of the log, the
// next start could take that part for the whole and vote by it. Without its identity, a folder can't be opened.
func SetAside(files Files) error {
	lock, err := files.Lock(lockName)
	if err != nil {
		return err
	}
	return errors.Join(setAside(files), lock.Close())
}

func setAside(files Files) error {
	names, err := files.List()
	if err != nil {
		return fmt.Errorf("disk: data folder: %w", err)
	}
	for _, n := range names {
		if n != ownerName {
			continue
		}
		// An earlier folder that was set aside is complete, because this one has an identity.
		if err := removeSetAside(files, names); err != nil {
			return err
		}
		if err := renameAside(files, ownerName); err != nil {
			return err
		}
		if err := files.Sync(); err != nil {
			return fmt.Errorf("disk: sync the folder of %s: %w", files.Path(ownerName), err)
		}
	}
	for _, n := range names {
		if n == ownerName || n == lockName || strings.HasPrefix(n, setAsidePrefix) {
			continue
		}
		if err := renameAside(files, n); err != nil {
			return err
		}
	}
	if err := files.Sync(); err != nil {
		return fmt.Errorf("disk: sync the folder: %w", err)
	}
	return nil
}

func renameAside(files Files, name string) error {
	if err := files.Rename(name, setAsidePrefix+name); err != nil {
		return fmt.Errorf("disk: set %s aside: %w", files.Path(name), err)
	}
	return nil
}

// removeSetAside removes the files that were set aside.
func removeSetAside(files Files, names []string) error {
	for _, n := range names {
		if !strings.HasPrefix(n, setAsidePrefix) {
			continue
		}
		if err := files.Remove(n); err != nil {
			return fmt.Errorf("disk: remove %s: %w", files.Path(n), err)
		}
	}
	return nil
}

// isSetAside returns whether any of the names is that of a file that was set aside.
func isSetAside(names []string) bool {
	for _, n := range names {
		if strings.HasPrefix(n, setAsidePrefix) {
			return true
		}
	}
	return false
}
