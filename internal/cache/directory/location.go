package directory

// location is one location of one piece. It has no pointers, so that the garbage collector doesn't scan millions of them.
type location struct {
	// number is the generation, or for a Writing one the deadline in milliseconds since the start.
	number uint64
	next   uint32
	// bytes is the piece's size, or for a Freed one the time of the deletion in seconds since the start.
	bytes uint32
	peer  uint16
	epoch uint16
	state State
	tier  Tier
}

const chunkSize = 1 << 10

// slab allocates locations in chunks, so that it grows without copying.
type slab struct {
	chunks [][]location
	free   uint32
	used   uint32
}

// at returns the location at an index; indexes start at 1.
func (s *slab) at(i uint32) *location {
	i--
	return &s.chunks[i/chunkSize][i%chunkSize]
}

func (s *slab) add(l location) uint32 {
	if s.free != 0 {
		i := s.free
		s.free = s.at(i).next
		*s.at(i) = l
		return i
	}
	if int(s.used) == len(s.chunks)*chunkSize {
		s.chunks = append(s.chunks, make([]location, chunkSize))
	}
	s.used++
	*s.at(s.used) = l
	return s.used
}

func (s *slab) remove(i uint32) {
	*s.at(i) = location{next: s.free}
	s.free = i
}
