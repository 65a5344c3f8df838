package faultfile

type file struct {
	folder *Folder
	name   string
	inode  *inode
}

// Write implements disk.File. A failed write writes the first half of b.
func (f *file) Write(b []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.folder.check(Write, f.name); err != nil {
		n := len(b) / 2
		f.inode.write(b[:n])
		return n, err
	}
	f.inode.write(b)
	return len(b), nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.folder.check(Sync, f.name); err != nil {
		return err
	}
	f.inode.sync()
	return nil
}

// Close implements disk.File.
func (f *file) Close() error {
	return nil
}
