package membership

import (
	"sync"
	"time"
)

// claimTime is how long a claim counts by itself, until the server's record is in the view.
const claimTime = time.Second

// claim is the use of one address.
type claim struct {
	identity string
	at       time.Time
}

// addresses maps each address to the identity that uses it.
type addresses struct {
	mu    sync.Mutex
	users map[string]claim
}

// claim gives the address to the identity, unless another one that is live uses it, and returns that one.
func (a *addresses) claim(now time.Time, address, identity string, live func(identity string) bool) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	user, ok := a.users[address]
	fresh := now.Sub(user.at) < claimTime
	if ok && user.identity != identity && (fresh || live(user.identity)) {
		return user.identity, false
	}
	a.users[address] = claim{identity: identity, at: now}
	return identity, true
}

// release takes the address from the identity.
func (a *addresses) release(address, identity string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.users[address].identity == identity {
		delete(a.users, address)
	}
}
