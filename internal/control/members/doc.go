// Package members replaces control replicas that lost their disk by those that
// operators admit in the settings tree.
//
// A replica whose disk was replaced comes back under its old name and address
// with a new identity. It has no vote until an operator has named the identity
// in admitted-replicas; the leader then adds it as a learner, gives it a vote
// when it has caught up, and removes the member that had its name.
package members
