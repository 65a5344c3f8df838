package membership

import (
	"sync"
	"time"
)

// claimTime is how long a claim holds before the server's record is published in the view.
const claimTime = time.Second

// claim records which identity uses an address and since when.
type claim struct {
	identity string
	at       time.Time
}

// addresses maps each address to the identity that uses it.
type addresses struct {
	mu    sync.Mutex
	users map[string]claim
}

// claim assigns the address to the identity and returns it. If another live identity uses the address, it returns that one and false.
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

// release removes the claim of the identity on the address.
func (a *addresses) release(address, identity string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.users[address].identity == identity {
		delete(a.users, address)
	}
}
