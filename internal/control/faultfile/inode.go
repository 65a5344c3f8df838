package faultfile

// inode is one file's content: all of it, and how much of it is synced.
type inode struct {
	content []byte
	synced  []byte
}

func (n *inode) sync() {
	n.synced = append([]byte(nil), n.content...)
}

// crash keeps what is synced and the given part of what was added since.
func (n *inode) crash(keep func(limit int) int) {
	added := len(n.content) - len(n.synced)
	if added <= 0 {
		n.content = append([]byte(nil), n.synced...)
		return
	}
	n.content = n.content[:len(n.synced)+keep(added)]
	n.sync()
}
