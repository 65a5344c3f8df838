package faultfile

// inode is the content of one file: the current content and the content at the last sync.
type inode struct {
	content []byte
	synced  []byte
}

func (n *inode) sync() {
	n.synced = append([]byte(nil), n.content...)
}

// crash keeps the synced content and the first keep(n) of the n bytes appended since.
func (n *inode) crash(keep func(limit int) int) {
	added := len(n.content) - len(n.synced)
	if added <= 0 {
		n.content = append([]byte(nil), n.synced...)
		return
	}
	n.content = n.content[:len(n.synced)+keep(added)]
	n.sync()
}
